package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// observedEnd is the end of a pause that this host has observed.
type observedEnd struct {
	target string
	end    stall.End
}

// setSharing sets whether ends of pauses are kept for other hosts.
func (s *stallLearner) setSharing(on bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sharing = on
	if !on {
		s.observed = nil
	}
}

// keepObserved keeps an end of a shard's pause for other hosts. The caller holds the lock.
func (s *stallLearner) keepObserved(t *catalog.Target, end stall.End) {
	if _, shard := s.index[t.Service]; s.sharing && shard && len(s.observed) < stall.MaxReportedEnds {
		s.observed = append(s.observed, observedEnd{target: string(t.ID), end: end})
	}
}

// takeObserved returns and resets the ends kept for other hosts.
func (s *stallLearner) takeObserved(now time.Time) []stall.SharedEnd {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.observed) == 0 {
		return nil
	}
	shared := make([]stall.SharedEnd, 0, len(s.observed))
	for _, o := range s.observed {
		shared = append(shared, stall.Share(o.target, o.end, now))
	}
	s.observed = s.observed[:0]
	return shared
}

// TakeStallEnds returns the ends of shards' pauses that this host has observed since the
// last call, in a fleet with gatherers.
func (d *Directory) TakeStallEnds(now time.Time) []stall.SharedEnd {
	return d.stalls.takeObserved(now)
}

// AddStallEnds learns from ends of pauses that other hosts have observed. Unknown targets
// are ignored.
func (d *Directory) AddStallEnds(ends []stall.SharedEnd, now time.Time) {
	view := d.Snapshot().View
	d.stalls.mu.Lock()
	defer d.stalls.mu.Unlock()
	for _, shared := range ends {
		t, known := view.Targets[catalog.TargetID(shared.Target)]
		if end, ok := shared.End(now); ok && known {
			d.stalls.learner.Add(d.stalls.family(t.Service), shared.Target, end, now)
		}
	}
}

// StallTable returns what is known of the pauses of shards' targets, for a host that
// becomes a gatherer.
func (d *Directory) StallTable(now time.Time) []stall.SharedPattern {
	view := d.Snapshot().View
	d.stalls.mu.Lock()
	defer d.stalls.mu.Unlock()
	return d.stalls.learner.Table(now, func(target string) bool {
		t, known := view.Targets[catalog.TargetID(target)]
		if !known {
			return false
		}
		_, shard := d.stalls.index[t.Service]
		return shard
	})
}

// AddStallTable takes the table of another host where nothing is known of a target.
func (d *Directory) AddStallTable(table []stall.SharedPattern, now time.Time) {
	view := d.Snapshot().View
	d.stalls.mu.Lock()
	defer d.stalls.mu.Unlock()
	for _, shared := range table {
		t, known := view.Targets[catalog.TargetID(shared.Target)]
		if p, ok := shared.Pattern(now); ok && known {
			d.stalls.learner.Adopt(d.stalls.family(t.Service), shared.Target, p, now)
		}
	}
}
