package claim

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// listSnapshot is an immutable snapshot of the host lists that claims read. The
// control goroutine publishes it at every tick.
type listSnapshot struct {
	status rules.ListStatus
	hosts  []*rules.HostSet
	// pauses is the number of pauses of this process that were detected so far.
	pauses uint64
	// builtAt is the time of the snapshot on the monotonic clock.
	builtAt time.Time
}

// fresh reports whether the control goroutine ran within pauseThreshold. If not,
// this process was paused or starved and must not use the snapshot.
func (l *listSnapshot) fresh(now time.Time) bool {
	return now.Sub(l.builtAt) < pauseThreshold
}

// sets returns the witnesses of an id by each host list, in ascending order of
// revision.
func (l *listSnapshot) sets(id string) [][]model.HostID {
	sets := make([][]model.HostID, len(l.hosts))
	for i, hosts := range l.hosts {
		sets[i] = hosts.Witnesses(id)
	}
	return sets
}
