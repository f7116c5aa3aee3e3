// Command swiftvaned runs one host of the query tier.
//
// SIGTERM or SIGINT begins a planned stop; a second one ends the process at
// once. Exit codes: 0 a stop that cut no request, 1 a failure while running,
// 2 bad settings or flags, 8 requests were still in flight at the end.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/platform"
)

func main() {
	if os.Getenv(platform.SettingsVariable) != "" {
		// A reload asked for before the settings are read needs nothing more, and
		// must not end the process.
		signal.Ignore(syscall.SIGHUP)
	}
	err := newCommand().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "swiftvaned:", err)
	}
	os.Exit(int(exitcode.Of(err)))
}
