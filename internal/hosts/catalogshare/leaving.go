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
// reports as leaving. It must be set before the hub runs; the function must not block.
func (h *Hub) OnLeavingTarget(f func(LeavingTarget)) { h.onLeaving = f }

// AddLeaving records that a target is leaving and, if this is new, sends it to the
// followers.
func (h *Hub) AddLeaving(t LeavingTarget) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.recordLeaving(t, time.Now())
}

// addLeaving records the reports of another host and passes the new ones on.
func (h *Hub) addLeaving(targets []LeavingTarget) {
	for _, t := range targets {
		h.mu.Lock()
		isNew := h.recordLeaving(t, time.Now())
		h.mu.Unlock()
		if isNew && h.onLeaving != nil {
			h.onLeaving(t)
		}
	}
}

// recordLeaving records a report, sends it to the followers if it is new and reports
// whether it is. The caller holds the lock.
func (h *Hub) recordLeaving(t LeavingTarget, now time.Time) bool {
	if _, known := h.leaving[t]; known {
		return false
	}
	if len(h.leaving) >= maxLeaving {
		h.dropOldLeaving(now)
	}
	h.leaving[t] = now
	h.log.WithFields(logrus.Fields{"target": t.Target, "born": t.Born}).Info("a target is leaving")
	m := h.newMessage()
	m.Leaving = []LeavingTarget{t}
	h.broadcast(m)
	return true
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
