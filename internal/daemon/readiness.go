package daemon

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/fleet"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// notReadyRetryAfter is about the time that a starting host needs.
const notReadyRetryAfter = time.Second

// readiness says why this host may not serve, or nil.
func readiness(f *fleet.Fleet) func() *verdict.Error {
	return func() *verdict.Error {
		if f.Ready() {
			return nil
		}
		return verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "no configuration or host list is in force yet")
	}
}
