// Package gctune sets how often the garbage collector runs.
package gctune

import (
	"os"
	"runtime/debug"
)

// Percent is how much the heap may grow beyond the live heap before the next
// collection. The live heap of a host is a few megabytes, so that Go's default of
// 100 would run the collector many times a second under load.
const Percent = 400

// gogcVariable is the environment variable of the Go runtime. A value set by an
// operator takes precedence.
const gogcVariable = "GOGC"

// Apply sets the collector's target to Percent unless GOGC is set.
func Apply() {
	if os.Getenv(gogcVariable) == "" {
		debug.SetGCPercent(Percent)
	}
}
