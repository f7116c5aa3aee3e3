package quarantine

import (
	"cmp"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Entry is a quarantined request as operators see it.
type Entry struct {
	Fingerprint Fingerprint
	Caller      model.CallerID
	Workload    model.WorkloadName
	// Service is the service of the last crash.
	Service model.ServiceName
	Crashes int
	Targets []model.TargetID
	// Age is the time since the first counted crash.
	Age       time.Duration
	ExpiresIn time.Duration
}

// Entries returns the requests that are quarantined, newest crash first.
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
	notes := r.counted()
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

// Release ends the quarantine of a request fleet-wide. Notes of crashes up to now
// that arrive later do not undo it. It reports whether the request was
// quarantined here.
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
		c.learn([]*Record{{Fingerprint: f, Caller: record.Caller, Workload: record.Workload, ReleasedMS: released}}, func() {})
	})
}
