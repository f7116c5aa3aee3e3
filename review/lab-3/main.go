// Command lab-3 plays the scripted cases of the third review: it starts stand-ins of the
// platform, of back ends and of clients, and the project's daemon as processes of its own.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	cannot = 2
)

var cases = map[string]func(rec *record, dir string, trouble bool) int{
	"moved": func(rec *record, dir string, trouble bool) int { return staleCase(rec, dir, trouble, movedRoute) },
	"added": func(rec *record, dir string, trouble bool) int { return staleCase(rec, dir, trouble, addedRoute) },
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab-3 CASE RECORD")
		os.Exit(cannot)
	}
	os.Exit(run(cases[os.Args[1]], os.Args[2]))
}

func run(play func(rec *record, dir string, trouble bool) int, path string) int {
	rec, err := newRecord(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "lab-3-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return cannot
	}
	if os.Getenv("LAB_KEEP") == "" {
		defer os.RemoveAll(dir)
	} else {
		fmt.Println(dir)
	}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.line("trouble: %v", trouble)
	return play(rec, dir, trouble)
}
