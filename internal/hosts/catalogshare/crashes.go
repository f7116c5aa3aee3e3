package catalogshare

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
)

// SendCrashReports adds crash reports of this host and sends them to the followers of its hub
// and to the reader that it follows. Reports that a lost link doesn't carry are sent with all
// others on the next one.
func (s *Source) SendCrashReports(reports []crashguard.CrashReport) {
	s.opts.Hub.AddCrashReports(reports)
	if l := s.currentLink(); l != nil {
		l.send(&message{CrashReports: reports})
	}
}

// AddCrashReports adds crash reports to the guard and sends the new ones to the followers, in
// one message: a sweep may end more targets than a link queues messages.
func (h *Hub) AddCrashReports(reports []crashguard.CrashReport) {
	var fresh []crashguard.CrashReport
	for _, report := range reports {
		if h.addCrashReport(report) {
			fresh = append(fresh, report)
		}
	}
	if len(fresh) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.newMessage()
	m.CrashReports = fresh
	h.broadcast(m)
}

// learnCrashes adds what another host knows of crashes. pending has those of its link.
func (h *Hub) learnCrashes(m *message, pending *pendingCrashes) {
	pending.update(m, time.Now())
	h.AddCrashReports(m.CrashReports)
	h.addClearances(m.Cleared)
	h.guard.Learn(time.Duration(m.CrashMemoryMS)*time.Millisecond, time.Now())
}

// addCrashReport adds a crash report to the guard and reports whether it is new.
func (h *Hub) addCrashReport(report crashguard.CrashReport) bool {
	added := h.guard.Add(report, time.Now())
	if added == crashguard.Known {
		return false
	}
	log := h.log.WithFields(logrus.Fields{"request": report.Request, "target": report.Target, "age_ms": report.AgeMS})
	log.Warn("a target crashed while it had this request")
	if added == crashguard.Blocked {
		log.Warn("this request crashes targets and is refused from now on")
	}
	return true
}

// SendClearance tells the fleet that a target has answered a suspected request.
func (s *Source) SendClearance(c crashguard.Clearance) {
	cleared := []crashguard.Clearance{c}
	s.opts.Hub.broadcastCleared(cleared)
	if l := s.currentLink(); l != nil {
		l.send(&message{Cleared: cleared})
	}
}

// addClearances adds what another host has cleared, and passes on what is new.
func (h *Hub) addClearances(cleared []crashguard.Clearance) {
	var fresh []crashguard.Clearance
	now := time.Now()
	for _, c := range cleared {
		if h.guard.Clear(c, now) {
			fresh = append(fresh, c)
		}
	}
	if len(fresh) > 0 {
		h.broadcastCleared(fresh)
	}
}

func (h *Hub) broadcastCleared(cleared []crashguard.Clearance) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.newMessage()
	m.Cleared = cleared
	h.broadcast(m)
}
