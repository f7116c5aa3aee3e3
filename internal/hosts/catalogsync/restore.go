package catalogsync

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// departureMemory is how long a host remembers that a target left. A copy from
	// which a store comes back is some seconds old.
	departureMemory = 2 * time.Minute
	// copyDoubt is how long after a restore entries of the copy don't revive targets
	// that had left: the entry of a process that has ended lapses within it.
	copyDoubt = 5 * time.Second
	// maxDepartures is the number of departures from which on old ones are forgotten.
	maxDepartures = 4096
)

// departure is a target that left or is leaving.
type departure struct {
	born int64
	at   time.Time
}

// heldTarget is a target of the copy and the key of its entry.
type heldTarget struct {
	target *catalog.Target
	key    string
}

// restore decides which entries of an older copy of the store to believe: the copy may
// show targets as ready that have left since it was made. What a target writes after
// the restore is believed.
type restore struct {
	// departed has the targets that left or are leaving, by the latest start known.
	departed map[catalog.TargetID]departure
	// held has the targets of the copy that had left, until they write again or
	// copyDoubt has passed.
	held map[catalog.TargetID]heldTarget
	// at is the first position read in the current era, until the end of copyDoubt.
	at    catalog.Position
	until time.Time
}

func newRestore() restore {
	return restore{departed: map[catalog.TargetID]departure{}, held: map[catalog.TargetID]heldTarget{}}
}

// begin starts a new era, whose entries were first read at the position.
func (r *restore) begin(at catalog.Position, now time.Time) {
	r.at = at
	r.until = now.Add(copyDoubt)
	clear(r.held)
}

// gone records that a target left or is leaving.
func (r *restore) gone(t *catalog.Target, now time.Time) {
	if len(r.departed) >= maxDepartures {
		r.prune(now)
	}
	r.departed[t.ID] = departure{born: t.Born, at: now}
}

// prune forgets the departures that are older than departureMemory.
func (r *restore) prune(now time.Time) {
	for id, d := range r.departed {
		if now.Sub(d.at) > departureMemory {
			delete(r.departed, id)
		}
	}
}

// outdated reports whether the entry comes from the copy and describes a start of a
// target that has left, is leaving or, if the host knows a later start of it, has
// restarted. known is the target as the host knows it, or nil.
func (r *restore) outdated(c *Change, known *catalog.Target, now time.Time) bool {
	if !now.Before(r.until) || c.Revision > r.at.Revision {
		return false
	}
	if known != nil && known.Born > c.Target.Born {
		return true
	}
	d, left := r.departed[c.Target.ID]
	return left && d.born == c.Target.Born && now.Sub(d.at) < departureMemory
}

// hold keeps a target of the copy for release.
func (r *restore) hold(t *catalog.Target, key string) { r.held[t.ID] = heldTarget{target: t, key: key} }

// keepOnly drops the held targets whose entries are no longer there.
func (r *restore) keepOnly(seen map[catalog.TargetID]bool) {
	for id := range r.held {
		if !seen[id] {
			delete(r.held, id)
		}
	}
}

// written records an entry that is believed.
func (r *restore) written(t *catalog.Target, now time.Time) {
	delete(r.held, t.ID)
	delete(r.departed, t.ID)
	if t.Leaving {
		r.gone(t, now)
	}
}

// release returns the targets that are held once copyDoubt has passed.
func (r *restore) release(now time.Time) []heldTarget {
	if now.Before(r.until) || len(r.held) == 0 {
		return nil
	}
	released := make([]heldTarget, 0, len(r.held))
	for _, t := range r.held {
		released = append(released, t)
	}
	clear(r.held)
	return released
}
