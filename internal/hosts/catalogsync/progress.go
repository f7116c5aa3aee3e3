package catalogsync

import (
	"errors"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// errEarlierEra reports an answer of a store, or of a host, that has not noticed yet
// that the store came back from an older copy.
var errEarlierEra = errors.New("the answer is of an earlier era of the store")

// progress is how far a follower has read. It decides which batches continue from
// there; it is used by one goroutine.
//
// Invariants: the era never falls; the revision never falls within an era.
type progress struct {
	log      logrus.FieldLogger
	position catalog.Position
	failures int
	// started is set once a batch was accepted; accepted is the era of the last one.
	started  bool
	accepted int64
	// longestPause is Hooks.LongestPause.
	longestPause func() time.Duration
}

// accept checks that a batch continues from the position and moves the position to
// the batch. It fails with ErrCompacted if all entries must be read again, and with
// errEarlierEra for a batch to ignore. The first batch after failures, or of a new
// era, is marked as one after an outage.
func (p *progress) accept(batch Batch) (Batch, error) {
	era, known := batch.Position.Era, p.position.Era
	switch {
	case era < known:
		return Batch{}, errEarlierEra
	case era > known && !batch.Full:
		p.log.WithFields(logrus.Fields{"store_era": era, "last_store_era": known, "store_revision": p.position.Revision}).
			Warn("store came back from an older copy; reading all entries again")
		return Batch{}, &CompactedError{Era: era}
	}
	batch.AfterOutage = batch.AfterOutage || p.failures > 0 || p.restored(era)
	if p.failures > 0 {
		p.log.WithField("failed_calls", p.failures).Info("store regained")
	}
	p.failures, p.started, p.accepted = 0, true, era
	p.position = p.position.Later(batch.Position)
	return batch, nil
}

// restored reports whether a batch of the era is the first one that is accepted after
// the store came back from an older copy.
func (p *progress) restored(era int64) bool { return p.started && era > p.accepted }

// forget drops the revision, so that all entries are read again, and keeps the later
// one of the era known and that of the error: hosts that have not noticed a later era
// must not be taken as readers any more.
func (p *progress) forget(err error) {
	p.log.WithError(err).WithFields(logrus.Fields{"store_era": p.position.Era, "store_revision": p.position.Revision}).
		Warn("history of the store is not available; reading all entries again")
	p.position.Revision = 0
	if compacted, ok := errors.AsType[*CompactedError](err); ok {
		p.position.Era = max(p.position.Era, compacted.Era)
	}
}

// failed counts a failed call and returns the pause before the next one.
func (p *progress) failed(err error) time.Duration {
	p.failures++
	if p.failures == 1 {
		p.log.WithError(err).WithField("store_revision", p.position.Revision).Warn("store lost; the last view stays in force")
	}
	return backoff(p.failures, p.maxPause())
}

// maxPause returns the longest pause between failed calls. A host without entries can
// serve nothing and doesn't wait longer than maxBackoff.
func (p *progress) maxPause() time.Duration {
	if p.longestPause == nil || !p.started {
		return maxBackoff
	}
	return max(p.longestPause(), maxBackoff)
}
