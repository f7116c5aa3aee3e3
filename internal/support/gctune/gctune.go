// Package gctune sets how often the garbage collector runs.
package gctune

import (
	"os"
	"runtime/debug"
)

// Percent is how much the heap may grow over what is live before the next
// collection. The tier's live heap is a few megabytes, which the default of 100
// would have collected many times a second under load.
const Percent = 400

// environment is the runtime's own variable; an operator's value goes first.
const environment = "GOGC"

// Apply sets Percent unless the environment says otherwise.
func Apply() {
	if os.Getenv(environment) == "" {
		debug.SetGCPercent(Percent)
	}
}
