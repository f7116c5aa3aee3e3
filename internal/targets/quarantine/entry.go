package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Entry describes a quarantined request to operators.
type Entry struct {
	Fingerprint Fingerprint
	Caller      model.CallerID
	Workload    model.WorkloadName
	// Service is the service of the last crash.
	Service model.ServiceName
	Crashes int
	Targets []model.TargetID
	// Age is the time since the first crash that counts.
	Age       time.Duration
	ExpiresIn time.Duration
}

// Entries returns the quarantined requests in descending order of expiry.
func (s *Service) Entries() []Entry {
	now := s.opts.Clock().UnixMilli()
	var entries []Entry
	for _, r := range *s.published.Load() {
		state, until := r.state(now)
		if state != Quarantined {
			continue
		}
		entries = append(entries, newEntry(r, now, until))
	}
	slices.SortFunc(entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.ExpiresIn, a.ExpiresIn), cmp.Compare(a.Fingerprint, b.Fingerprint))
	})
	return entries
}

func newEntry(r *Record, nowMS, untilMS int64) Entry {
	notes := r.activeNotes()
	e := Entry{
		Fingerprint: r.Fingerprint,
		Caller:      r.Caller,
		Workload:    r.Workload,
		Service:     notes[len(notes)-1].Service,
		Crashes:     len(notes),
		Age:         time.Duration(nowMS-notes[0].AtMS) * time.Millisecond,
		ExpiresIn:   time.Duration(untilMS-nowMS) * time.Millisecond,
	}
	for _, n := range notes {
		if !slices.Contains(e.Targets, n.Target) {
			e.Targets = append(e.Targets, n.Target)
		}
	}
	return e
}

// Release ends the quarantine of a request fleet-wide. Notes that arrive later for
// crashes up to now do not undo it. It returns false if the request is not
// quarantined on this host or the command queue is full.
func (s *Service) Release(fingerprint uint64) bool {
	f := Fingerprint(fingerprint)
	record := (*s.published.Load())[f]
	now := s.opts.Clock().UnixMilli()
	if record == nil {
		return false
	}
	if state, _ := record.state(now); state != Quarantined {
		return false
	}
	released := max(now, record.lastMS())
	s.counter.released.Inc(1)
	return s.submit(func(c *control) {
		c.mergeAndSpread([]*Record{{Fingerprint: f, Caller: record.Caller, Workload: record.Workload, ReleasedMS: released}}, func() {})
	})
}
