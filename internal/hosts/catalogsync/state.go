package catalogsync

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// idleExpiry is the timer's period while nothing waits for it.
const idleExpiry = time.Hour

// state is owned by one goroutine. Invariants: the configuration's version only
// rises; a target is either in targets or gone; a key in holds is in targets.
type state struct {
	log      logrus.FieldLogger
	config   *catalog.Config
	revision int64
	targets  map[catalog.TargetID]*catalog.Target
	// holds has targets whose entry vanished while the store was away, with
	// the time at which they are taken as gone.
	holds map[catalog.TargetID]time.Time
	// holdUntil is the end of the time after the store's return in which
	// vanished entries are held.
	holdUntil time.Time
}

func newState(log logrus.FieldLogger) *state {
	return &state{log: log, targets: map[catalog.TargetID]*catalog.Target{}, holds: map[catalog.TargetID]time.Time{}}
}

// apply takes a batch in and reports whether the view changed.
func (s *state) apply(batch Batch, now time.Time) bool {
	if batch.Returned {
		s.holdUntil = now.Add(returnHold)
	}
	changed := s.revision == 0
	s.revision = max(s.revision, batch.Revision)
	seen := map[catalog.TargetID]bool{}
	for i := range batch.Changes {
		c := &batch.Changes[i]
		if c.Kind == TargetChange && c.Target != nil {
			seen[c.Target.ID] = true
		}
		changed = s.change(c, now) || changed
	}
	if batch.Full {
		for id := range s.targets {
			if !seen[id] {
				changed = s.remove(id, "entry is missing", now) || changed
			}
		}
	}
	return changed
}

func (s *state) change(c *Change, now time.Time) bool {
	switch c.Kind {
	case ConfigChange:
		return s.changeConfig(c)
	case TargetChange:
		return s.changeTarget(c, now)
	default:
		return false
	}
}

func (s *state) changeConfig(c *Change) bool {
	if c.Err != nil || c.Config == nil {
		s.log.WithError(c.Err).WithField("revision", c.Revision).Error("configuration is unreadable; the last one stays in force")
		return false
	}
	if s.config != nil && c.Config.Version <= s.config.Version {
		return false
	}
	s.config = c.Config
	s.log.WithFields(logrus.Fields{"version": c.Config.Version, "revision": c.Revision, "routes": len(c.Config.Routes)}).Info("configuration in force")
	return true
}

func (s *state) changeTarget(c *Change, now time.Time) bool {
	if c.Deleted || c.Err != nil {
		id := targetOf(c.Key)
		if c.Err != nil {
			s.log.WithError(c.Err).WithField("key", c.Key).Warn("entry is unreadable and names no target")
		}
		return s.remove(id, "entry was removed", now)
	}
	t := c.Target
	delete(s.holds, t.ID)
	old, known := s.targets[t.ID]
	s.targets[t.ID] = t
	if known && old.SameStart(t) && old.Leaving == t.Leaving && old.FailureDomain == t.FailureDomain && old.Slots == t.Slots {
		return false
	}
	s.log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "addr": t.Addr, "leaving": t.Leaving, "revision": c.Revision}).Info("target changed")
	return true
}

// remove takes a target as gone, at once or after the hold.
func (s *state) remove(id catalog.TargetID, why string, now time.Time) bool {
	if _, known := s.targets[id]; !known {
		return false
	}
	if _, held := s.holds[id]; held {
		return false
	}
	if now.Before(s.holdUntil) {
		s.holds[id] = s.holdUntil
		return false
	}
	s.log.WithFields(logrus.Fields{"target": id, "reason": why, "revision": s.revision}).Info("target gone")
	delete(s.targets, id)
	return true
}

// expire drops the held targets whose time is over.
func (s *state) expire(now time.Time) bool {
	changed := false
	for id, until := range s.holds {
		if now.Before(until) {
			continue
		}
		delete(s.holds, id)
		delete(s.targets, id)
		s.log.WithFields(logrus.Fields{"target": id, "reason": "entry did not come back after the store did"}).Info("target gone")
		changed = true
	}
	return changed
}

func (s *state) nextExpiry(now time.Time) time.Duration {
	if len(s.holds) == 0 {
		return idleExpiry
	}
	return max(s.holdUntil.Sub(now), time.Millisecond)
}

func (s *state) view() *catalog.View {
	targets := make(map[catalog.TargetID]*catalog.Target, len(s.targets))
	for id, t := range s.targets {
		targets[id] = t
	}
	return catalog.NewView(s.config, s.revision, targets)
}

// targetOf returns the id in the last part of a key.
func targetOf(key string) catalog.TargetID {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return catalog.TargetID(key[i+1:])
		}
	}
	return catalog.TargetID(key)
}
