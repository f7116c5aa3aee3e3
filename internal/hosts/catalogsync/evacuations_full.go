package catalogsync

import (
	"slices"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// beginFull prepares for a full batch. The first one of a later era comes from an older
// copy of the store.
func (e *evacuations) beginFull(read catalog.Position, now time.Time) {
	if e.started && read.Era > e.era {
		e.restoredAt, e.until = read, now.Add(copyDoubt)
		clear(e.disputed)
	}
	e.started, e.era = true, max(e.era, read.Era)
}

// doubted reports whether the copy's word doesn't count yet.
func (e *evacuations) doubted(now time.Time) bool { return now.Before(e.until) }

// list applies an evacuation that a full batch lists.
func (e *evacuations) list(c Change, read catalog.Position, now time.Time) {
	k := e.known[c.Domain]
	position := catalog.Position{Era: read.Era, Revision: c.Revision}
	held, isHeld := e.disputed[c.Domain]
	switch {
	case e.doubted(now) && isHeld && !held.Deleted && held.Revision == c.Revision:
	case k != nil && !k.inForce && e.fromCopy(k, c, read, now):
		e.disputed[c.Domain] = c
		e.logHeld(c.Domain, "evacuation of the older copy was withdrawn before and is held back")
	case k != nil && k.supersedes(position, false):
		// A late answer.
	default:
		e.record(c, position, now)
	}
}

// fromCopy reports whether a listed evacuation that was withdrawn has been written before
// the copy was made. Others were written after the restore.
func (e *evacuations) fromCopy(k *evacuation, c Change, read catalog.Position, now time.Time) bool {
	return e.doubted(now) && k.position.Era < read.Era && c.Revision <= e.restoredAt.Revision && slices.Contains(k.writes, c.Revision)
}

// endFull ends the evacuations that a full batch doesn't list, and adopts the disputes
// of the host that sent it.
func (e *evacuations) endFull(listed map[string]bool, batch *Batch, now time.Time) {
	for domain, k := range e.known {
		if k.inForce && !listed[domain] {
			e.missing(domain, k, batch.Position, now)
		}
	}
	e.adopt(batch, now)
	e.release(batch.Position, now)
	batch.Disputed, batch.DisputedFor = nil, 0
	if len(e.disputed) > 0 {
		batch.Disputed, batch.DisputedFor = lo.Values(e.disputed), e.until.Sub(now)
	}
}

// missing handles an evacuation in force that a full batch doesn't list: it was withdrawn
// unless the batch is older than its last write or comes from an older copy.
func (e *evacuations) missing(domain string, k *evacuation, read catalog.Position, now time.Time) {
	withdrawal := Change{Kind: EvacuationChange, Key: k.last.Key, Domain: domain, Deleted: true, Revision: read.Revision}
	_, held := e.disputed[domain]
	switch {
	case e.doubted(now) && (held || k.position.Era < read.Era):
		if !held {
			e.logHeld(domain, "evacuation that the older copy lacks is kept")
		}
		e.disputed[domain] = withdrawal
	case read.Before(k.position):
		// A late answer.
	default:
		e.record(withdrawal, read, now)
	}
}

// adopt takes over the disputes of the host that this host follows.
func (e *evacuations) adopt(batch *Batch, now time.Time) {
	if batch.DisputedFor <= 0 {
		return
	}
	if !e.doubted(now) {
		e.until, e.restoredAt = now.Add(min(batch.DisputedFor, copyDoubt)), batch.Position
	}
	for _, c := range batch.Disputed {
		if k := e.known[c.Domain]; c.Kind == EvacuationChange && c.Err == nil && (k != nil && k.inForce) == c.Deleted {
			e.disputed[c.Domain] = c
		}
	}
}

// inForce returns the evacuations in force as changes. Those written in an earlier era
// get a revision that exists in the current one.
func (e *evacuations) inForce(read catalog.Position) []Change {
	var changes []Change
	for _, k := range e.known {
		if !k.inForce {
			continue
		}
		c := k.last
		if k.position.Era < read.Era {
			c.Revision = min(c.Revision, read.Revision)
		}
		changes = append(changes, c)
	}
	return changes
}

func (e *evacuations) logHeld(domain, message string) {
	e.log.WithFields(logrus.Fields{"domain": domain, "store_era": e.era, "held_ms": copyDoubt.Milliseconds()}).Info(message)
}
