package catalogsync

import (
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// idleExpiry is the timer's period while no removal is pending.
const idleExpiry = time.Hour

// state is the host's copy of the store's entries, owned by one goroutine.
// Invariants: the configuration's version only rises; each key of pendingRemovals
// is in targets.
type state struct {
	log      logrus.FieldLogger
	config   *catalog.Config
	position catalog.Position
	targets  map[catalog.TargetID]*catalog.Target
	// pendingRemovals has the targets whose entries disappeared during a store
	// outage, with the time at which they are removed.
	pendingRemovals map[catalog.TargetID]time.Time
	// delayUntil is the end of the period after the store's return in which
	// removals are delayed.
	delayUntil time.Time
	restore    restore
	// evacuations has the evacuations in force, by failure domain.
	evacuations map[string]catalog.Evacuation
	// doubt is what takeDoubt returns next.
	doubt Doubt
}

func newState(log logrus.FieldLogger) *state {
	return &state{log: log, targets: map[catalog.TargetID]*catalog.Target{}, pendingRemovals: map[catalog.TargetID]time.Time{}, restore: newRestore(), evacuations: map[string]catalog.Evacuation{}}
}

// apply applies a batch and reports whether the view changed.
func (s *state) apply(batch Batch, now time.Time) bool {
	if batch.AfterOutage {
		s.delayUntil = now.Add(removalDelay)
	}
	changed := s.position.IsZero()
	if batch.Position.Era > s.position.Era && !changed {
		s.restore.begin(batch.Position, now)
	}
	s.position = s.position.Later(batch.Position)
	seen := map[catalog.TargetID]bool{}
	for i := range batch.Changes {
		c := &batch.Changes[i]
		if c.Kind == TargetChange && c.Target != nil {
			seen[c.Target.ID] = true
		}
		changed = s.applyChange(c, now) || changed
	}
	if batch.Full {
		changed = s.keepEvacuations(batch.Changes, now) || changed
		s.restore.keepOnly(seen)
		for id := range s.targets {
			if !seen[id] {
				changed = s.remove(id, "entry is missing", now) || changed
			}
		}
	}
	return changed
}

func (s *state) applyChange(c *Change, now time.Time) bool {
	switch c.Kind {
	case ConfigChange:
		return s.applyConfig(c)
	case TargetChange:
		return s.applyTarget(c, now)
	case EvacuationChange:
		return s.applyEvacuation(c, now)
	default:
		return false
	}
}

// applyConfig puts a configuration in force if it is readable and its version is
// higher than the current one's.
func (s *state) applyConfig(c *Change) bool {
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

// applyTarget applies a change of a target's entry. An unreadable entry counts as
// removed; a rewrite that changes nothing relevant leaves the view as it is.
func (s *state) applyTarget(c *Change, now time.Time) bool {
	if c.Deleted || c.Err != nil {
		id := targetIDOf(c.Key)
		if c.Err != nil {
			s.log.WithError(c.Err).WithField("key", c.Key).Warn("target entry is unreadable and counts as removed")
		}
		return s.remove(id, "entry was removed", now)
	}
	t := c.Target
	old, known := s.targets[t.ID]
	if s.restore.outdated(c, old, now) {
		return s.applyOutdated(c, old)
	}
	delete(s.pendingRemovals, t.ID)
	s.restore.written(t, now)
	s.targets[t.ID] = t
	if known && old.SameStart(t) && old.Leaving == t.Leaving && old.FailureDomain == t.FailureDomain && old.Slots == t.Slots && !s.coldAgain(old, t) {
		return false
	}
	s.log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "addr": t.Addr, "leaving": t.Leaving, "revision": c.Revision}).Info("target changed")
	return true
}

// applyOutdated applies an entry that the copy has of a target which has left, is
// leaving or has restarted since: the host keeps what it knows. A target that it no
// longer knows is held back.
func (s *state) applyOutdated(c *Change, known *catalog.Target) bool {
	t := c.Target
	if known == nil || known.Leaving {
		s.doubt.Withheld = append(s.doubt.Withheld, c.Key)
	}
	if known != nil {
		delete(s.pendingRemovals, t.ID)
		return false
	}
	s.restore.hold(t, c.Key)
	s.log.WithFields(logrus.Fields{"target": t.ID, "service": t.Service, "store_era": s.position.Era}).Info("target of the older copy is held back")
	return false
}

// remove removes a target at once or, shortly after a store outage, marks it for
// delayed removal. It reports whether the view changed.
func (s *state) remove(id catalog.TargetID, why string, now time.Time) bool {
	delete(s.restore.held, id)
	if _, known := s.targets[id]; !known {
		return false
	}
	if _, pending := s.pendingRemovals[id]; pending {
		return false
	}
	if now.Before(s.delayUntil) {
		s.pendingRemovals[id] = s.delayUntil
		return false
	}
	s.log.WithFields(logrus.Fields{"target": id, "reason": why, "revision": s.position.Revision, "store_era": s.position.Era}).Info("target gone")
	s.drop(id, now)
	return true
}

// drop removes a target and remembers that it is gone.
func (s *state) drop(id catalog.TargetID, now time.Time) {
	s.restore.gone(s.targets[id], now)
	delete(s.targets, id)
}

// expire removes the targets whose delay has passed and reports whether there was
// one.
func (s *state) expire(now time.Time) bool {
	changed := false
	for id, until := range s.pendingRemovals {
		if now.Before(until) {
			continue
		}
		delete(s.pendingRemovals, id)
		s.drop(id, now)
		s.log.WithFields(logrus.Fields{"target": id, "reason": "entry was not rewritten after the store outage"}).Info("target gone")
		changed = true
	}
	for _, h := range s.restore.release(now) {
		s.log.WithFields(logrus.Fields{"target": h.target.ID, "reason": "entry of the older copy is still there"}).Info("target is used again")
		s.targets[h.target.ID] = h.target
		s.doubt.Released = append(s.doubt.Released, h.key)
		changed = true
	}
	return changed
}

// nextExpiry returns the time until expire must run again.
func (s *state) nextExpiry(now time.Time) time.Duration {
	next := idleExpiry
	// A second outage moves delayUntil, but not the removals that were marked before.
	for _, until := range s.pendingRemovals {
		next = min(next, until.Sub(now))
	}
	if len(s.restore.held) > 0 {
		next = min(next, s.restore.until.Sub(now))
	}
	return max(next, time.Millisecond)
}

// view returns an immutable copy of the state.
func (s *state) view() *catalog.View {
	targets := make(map[catalog.TargetID]*catalog.Target, len(s.targets))
	for id, t := range s.targets {
		targets[id] = t
	}
	return catalog.NewView(s.config, s.position, targets, lo.Values(s.evacuations)...)
}

// targetIDOf returns the part of a key after its last slash.
func targetIDOf(key string) catalog.TargetID {
	for i := len(key) - 1; i >= 0; i-- {
		if key[i] == '/' {
			return catalog.TargetID(key[i+1:])
		}
	}
	return catalog.TargetID(key)
}
