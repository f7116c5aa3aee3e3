package catalogsync

import (
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// maxWithdrawnEvacuations is the number of known failure domains from which on old
	// withdrawals are forgotten.
	maxWithdrawnEvacuations = 1024
	// maxEvacuationWrites is the number of revisions that are remembered for each
	// failure domain, to recognise them in an older copy.
	maxEvacuationWrites = 8
)

// evacuations decides which evacuations of failure domains are in force when the store
// comes back from an older copy, or an older message arrives late. It rewrites batches
// accordingly, so that this host's view and the hosts that follow it agree. It is used
// by the goroutine that reads the store.
//
// Invariant: within an era, an evacuation's position never falls.
type evacuations struct {
	log   logrus.FieldLogger
	known map[string]*evacuation
	// disputed is what the copy says of failure domains whose state differs, by domain.
	// It takes effect at until.
	disputed map[string]Change
	until    time.Time
	// restoredAt is the position first read in the current era.
	restoredAt catalog.Position
	started    bool
	era        int64
}

// evacuation is what is known of one failure domain.
type evacuation struct {
	// position is that of the last write or withdrawal.
	position catalog.Position
	// last is the last write, writes the revisions of the last ones.
	last   Change
	writes []int64
	// inForce is unset once the evacuation was withdrawn, at withdrawnAt.
	inForce     bool
	withdrawnAt time.Time
}

func newEvacuations(log logrus.FieldLogger) *evacuations {
	return &evacuations{log: log, known: map[string]*evacuation{}, disputed: map[string]Change{}}
}

// settle returns the batch with the changes of evacuations that take effect. A full
// batch lists all that are in force afterwards.
func (e *evacuations) settle(batch Batch, now time.Time) Batch {
	due := len(e.disputed) > 0 && !now.Before(e.until)
	if !batch.Full && !due && !slices.ContainsFunc(batch.Changes, isEvacuation) {
		return batch
	}
	changes := make([]Change, 0, len(batch.Changes))
	listed := map[string]bool{}
	if batch.Full {
		e.beginFull(batch.Position, now)
	}
	for _, c := range batch.Changes {
		switch {
		case c.Kind != EvacuationChange:
			changes = append(changes, c)
		case c.Err != nil:
			e.log.WithError(c.Err).WithField("key", c.Key).Warn("evacuation is unreadable and ignored")
		case batch.Full:
			listed[c.Domain] = true
			e.list(c, batch.Position, now)
		case e.write(c, batch.Position, now):
			changes = append(changes, c)
		}
	}
	if !batch.Full {
		batch.Changes = append(changes, e.release(batch.Position, now)...)
		return batch
	}
	e.endFull(listed, &batch, now)
	batch.Changes = append(changes, e.inForce(batch.Position)...)
	return batch
}

func isEvacuation(c Change) bool { return c.Kind == EvacuationChange }

// write applies a change that was written after the position read before, and reports
// whether it is new.
func (e *evacuations) write(c Change, read catalog.Position, now time.Time) bool {
	position := catalog.Position{Era: read.Era, Revision: c.Revision}
	if c.Revision == 0 {
		position = read
	}
	if k := e.known[c.Domain]; k != nil && k.supersedes(position, c.Deleted) {
		return false
	}
	e.record(c, position, now)
	return true
}

// supersedes reports whether a write at the position is older than what is known.
// A withdrawal may have the revision of the write, if it was found by a full read.
func (k *evacuation) supersedes(position catalog.Position, deleted bool) bool {
	return position.Before(k.position) || position == k.position && !deleted && !k.inForce
}

// record records a write or withdrawal that takes effect.
func (e *evacuations) record(c Change, position catalog.Position, now time.Time) {
	delete(e.disputed, c.Domain)
	k := e.known[c.Domain]
	if k == nil {
		e.prune(now)
		k = &evacuation{}
		e.known[c.Domain] = k
	}
	k.position, k.inForce = position, !c.Deleted
	if c.Deleted {
		k.withdrawnAt = now
		return
	}
	k.last = c
	if slices.Contains(k.writes, c.Revision) {
		return
	}
	k.writes = append(k.writes, c.Revision)
	k.writes = k.writes[max(len(k.writes)-maxEvacuationWrites, 0):]
}

// prune forgets withdrawals that are older than departureMemory.
func (e *evacuations) prune(now time.Time) {
	if len(e.known) < maxWithdrawnEvacuations {
		return
	}
	for domain, k := range e.known {
		if !k.inForce && now.Sub(k.withdrawnAt) > departureMemory {
			delete(e.known, domain)
		}
	}
}

// release returns the disputed changes once copyDoubt has passed.
func (e *evacuations) release(read catalog.Position, now time.Time) []Change {
	if len(e.disputed) == 0 || now.Before(e.until) {
		return nil
	}
	var changes []Change
	for _, c := range e.disputed {
		if c.Deleted {
			c.Revision = read.Revision
		}
		e.record(c, catalog.Position{Era: read.Era, Revision: c.Revision}, now)
		changes = append(changes, c)
	}
	return changes
}
