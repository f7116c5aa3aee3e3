// Command rig plays the cases of the review: it starts the daemon of the deploy file as
// separate processes beside stand-ins of the store, the searchers and the clients.
//
//	rig CASE RECORD
//
// It writes to RECORD what was sent, answered and run. It exits with 1 if the rule was broken,
// 0 if it held and 2 if the case couldn't run. With TROUBLE=0 it leaves out the disruption.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// longest is the time after which a case is given up.
const longest = 118 * time.Second

var cases = map[string]func(*record, bool) (bool, error){
	"crashers":       crashers,
	"handover":       handover,
	"sweep-crashers": sweepCrashers,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE RECORD")
		os.Exit(2)
	}
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
		os.Exit(2)
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	ended := make(chan int, 1)
	go func() { ended <- play(rec, cases[os.Args[1]]) }()
	select {
	case code := <-ended:
		os.Exit(code)
	case <-stop:
	case <-time.After(longest):
	}
	running.kill()
	fmt.Fprintln(os.Stderr, "rig: given up")
	os.Exit(2)
}

// play runs a case and returns the exit code.
func play(rec *record, run func(*record, bool) (bool, error)) int {
	broken, err := run(rec, os.Getenv("TROUBLE") != "0")
	switch {
	case err != nil:
		rec.write("could not run", fields{"error": err.Error()})
		fmt.Fprintln(os.Stderr, "rig:", err)
		return 2
	case broken:
		rec.write("rule broken", nil)
		return 1
	default:
		rec.write("rule held", nil)
		return 0
	}
}
