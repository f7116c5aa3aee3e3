package catalogshare

import (
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// leavingTTL is how long a report that a target is leaving is passed on to hosts
	// that link later.
	leavingTTL = time.Minute
	// maxLeaving is the number of reports from which on old ones are dropped.
	maxLeaving = 1024
)

// OnLeavingTarget sets the function that is called with each target that another host
// reports as leaving and the time of the first report. It must be set before the hub runs; the function must not block.
func (h *Hub) OnLeavingTarget(f func(t TargetStart, since time.Time)) { h.onLeaving = f }

// AddLeaving records that a target is leaving and, if this is new, sends it to the
// followers.
func (h *Hub) AddLeaving(t TargetStart) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordLeaving(t, time.Now())
}

// addLeaving records the reports in a message of another host and passes the new ones
// on. A report without an age is new.
func (h *Hub) addLeaving(m *message) {
	now := time.Now()
	for i, t := range m.Leaving {
		since := now
		if i < len(m.LeavingAgesMS) {
			since = now.Add(-time.Duration(max(m.LeavingAgesMS[i], 0)) * time.Millisecond)
		}
		h.mu.Lock()
		isNew := h.recordLeaving(t, since)
		h.mu.Unlock()
		if isNew && h.onLeaving != nil {
			h.onLeaving(t, since)
		}
	}
}

// recordLeaving records a report first made at since, sends it to the followers if it is
// new and reports whether it is. The caller holds the lock.
func (h *Hub) recordLeaving(t TargetStart, since time.Time) bool {
	if _, known := h.leaving[t]; known {
		return false
	}
	if len(h.leaving) >= maxLeaving {
		h.dropOldLeaving(time.Now())
	}
	h.leaving[t] = since
	h.log.WithFields(logrus.Fields{"target": t.Target, "born": t.Born}).Info("a target is leaving")
	m := h.newMessage()
	m.addLeaving(t, since)
	h.broadcast(m)
	return true
}

// addAllLeaving adds the reports that are younger than leavingTTL to a message. The
// caller holds the lock.
func (h *Hub) addAllLeaving(m *message) {
	now := time.Now()
	for t, since := range h.leaving {
		if now.Sub(since) <= leavingTTL {
			m.addLeaving(t, since)
		}
	}
}

// dropOldLeaving drops the reports that are older than leavingTTL. The caller holds
// the lock.
func (h *Hub) dropOldLeaving(now time.Time) {
	for t, at := range h.leaving {
		if now.Sub(at) > leavingTTL {
			delete(h.leaving, t)
		}
	}
}
