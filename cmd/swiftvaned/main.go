// Command swiftvaned runs one host of the query tier.
//
// SIGTERM or SIGINT starts a graceful stop; a second one ends the process at
// once. Exit codes: 0 for a stop that aborted no request, 1 for a failure while
// running, 2 for invalid settings or flags, 8 if requests were still in flight at
// the end. With the platform's settings file, a second signal has no effect and
// every stop exits with 0; the last log line says whether the stop was clean.
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
	// Otherwise a write to standard output or standard error whose reader has gone would
	// terminate the process.
	signal.Ignore(syscall.SIGPIPE)
	if os.Getenv(platform.SettingsVariable) != "" {
		// A reload requested before the settings are read needs no action, and its
		// signal must not terminate the process.
		signal.Ignore(syscall.SIGHUP)
	}
	err := newCommand().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "swiftvaned:", err)
	}
	os.Exit(int(exitcode.Of(err)))
}
