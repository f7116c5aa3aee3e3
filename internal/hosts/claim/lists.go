package claim

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// lists is what claims read of the host lists: an immutable copy that the control
// goroutine publishes at every tick.
type lists struct {
	known rules.Known
	hosts []*rules.HostSet
	// pauses counts the pauses of this process that the control goroutine saw.
	pauses uint64
	// builtAt is on the monotonic clock.
	builtAt time.Time
}

// fresh reports whether the control goroutine has run lately; if not, this
// process was paused or starved, and must not act by what it knew before.
func (l *lists) fresh(now time.Time) bool {
	return now.Sub(l.builtAt) < pauseLimit
}

// sets returns the witnesses of an id by each list.
func (l *lists) sets(id string) [][]model.HostID {
	sets := make([][]model.HostID, len(l.hosts))
	for i, hosts := range l.hosts {
		sets[i] = hosts.Witnesses(id)
	}
	return sets
}
