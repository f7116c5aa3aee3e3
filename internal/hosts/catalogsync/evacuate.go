package catalogsync

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// applyEvacuation puts an evacuation in force or ends it, and reports whether the view
// changed.
func (s *state) applyEvacuation(c *Change, now time.Time) bool {
	if c.Err != nil || c.Domain == "" {
		return false
	}
	e, known := s.evacuations[c.Domain]
	if c.Deleted {
		return known && s.endEvacuation(&e, now)
	}
	if !known {
		e = catalog.Evacuation{Domain: c.Domain, Since: now}
	}
	e.Position = catalog.Position{Era: s.position.Era, Revision: c.Revision}
	s.evacuations[c.Domain] = e
	if known {
		return false
	}
	s.logEvacuation(&e, now).Info("evacuation of a failure domain was requested")
	return true
}

// keepEvacuations ends the evacuations that a full batch doesn't list, and reports
// whether there was one.
func (s *state) keepEvacuations(changes []Change, now time.Time) bool {
	if len(s.evacuations) == 0 {
		return false
	}
	listed := map[string]bool{}
	for i := range changes {
		if changes[i].Kind == EvacuationChange {
			listed[changes[i].Domain] = true
		}
	}
	changed := false
	for domain, e := range s.evacuations {
		if !listed[domain] {
			changed = s.endEvacuation(&e, now) || changed
		}
	}
	return changed
}

func (s *state) endEvacuation(e *catalog.Evacuation, now time.Time) bool {
	delete(s.evacuations, e.Domain)
	s.logEvacuation(e, now).Info("evacuation of a failure domain was withdrawn")
	return true
}

func (s *state) logEvacuation(e *catalog.Evacuation, now time.Time) logrus.FieldLogger {
	return s.log.WithFields(logrus.Fields{
		"domain": e.Domain, "revision": e.Position.Revision, "store_era": s.position.Era, "age_ms": now.Sub(e.Since).Milliseconds(),
	})
}
