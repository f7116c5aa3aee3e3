package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
)

// maxLimitNotices bounds the targets of which a hub knows statements, and the notices in a
// message.
const maxLimitNotices = 4096

// LimitHooks connect a hub to what its host knows of targets that limit their request rate.
// They must not block nor call the hub.
type LimitHooks struct {
	// AddNotices takes statements of targets that other hosts have heard.
	AddNotices func(notices []targetlimit.Notice)
	// SetTotals takes the demand of all hosts for services with limited targets.
	SetTotals func(totals []targetlimit.ServiceDemand)
}

// limitRelay is what a reader passes on of targets that limit their request rate. The hub's
// lock guards it.
type limitRelay struct {
	hooks LimitHooks
	// stated has the statements that this hub has passed on, by start of a target.
	stated map[TargetStart]targetlimit.Statement
	// own is the report of this host as a reader, readers has those of other readers by
	// address.
	own     targetlimit.Report
	readers map[string]targetlimit.Report
}

func newLimitRelay() limitRelay {
	return limitRelay{stated: map[TargetStart]targetlimit.Statement{}, readers: map[string]targetlimit.Report{}}
}

// SetLimitHooks sets the hooks. It must be called before the hub runs.
func (h *Hub) SetLimitHooks(hooks LimitHooks) { h.limits.hooks = hooks }

// addLimitNotices takes the notices of another host, for this host and to pass on.
func (h *Hub) addLimitNotices(notices []targetlimit.Notice) {
	if len(notices) == 0 {
		return
	}
	notices = notices[:min(len(notices), maxLimitNotices)]
	if h.limits.hooks.AddNotices != nil {
		h.limits.hooks.AddNotices(notices)
	}
	h.passOnLimits(notices)
}

// passOnLimits sends the notices that are news to all followers.
func (h *Hub) passOnLimits(notices []targetlimit.Notice) {
	now := time.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	var news []targetlimit.Notice
	for i := range notices {
		start := TargetStart{Target: notices[i].Target, Born: notices[i].Born}
		s, ok := notices[i].Statement(now)
		if ok && s.News(h.limits.stated[start]) && h.limits.remember(start, s, now) {
			news = append(news, notices[i])
		}
	}
	if len(news) > 0 && len(h.followers) > 0 {
		m := h.newMessage()
		m.Limits = news
		h.broadcast(m)
	}
}

// remember records a statement and reports whether there was room for it.
func (l *limitRelay) remember(start TargetStart, s targetlimit.Statement, now time.Time) bool {
	if _, known := l.stated[start]; !known && len(l.stated) >= maxLimitNotices {
		for other, old := range l.stated {
			if old.Expired(now) {
				delete(l.stated, other)
			}
		}
		if len(l.stated) >= maxLimitNotices {
			return false
		}
	}
	l.stated[start] = s
	return true
}

// addAllLimits adds the limits in force to a message. The caller holds the lock.
func (h *Hub) addAllLimits(m *message) {
	now := time.Now()
	for start, s := range h.limits.stated {
		if s.Limited && !s.Expired(now) {
			m.Limits = append(m.Limits, targetlimit.NewNotice(start.Target, start.Born, s, now))
		}
	}
}

// setReaderLimitDemand records the demand that another reader and its followers report.
func (h *Hub) setReaderLimitDemand(addr string, demand []targetlimit.ServiceDemand) {
	if len(demand) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.readers[addr] = targetlimit.NewReport(demand, time.Now())
}

// setFollowerLimitDemand records the demand that a follower reports.
func (h *Hub) setFollowerLimitDemand(f *follower, demand []targetlimit.ServiceDemand) {
	if len(demand) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	f.limitDemand = targetlimit.NewReport(demand, time.Now())
}

// setOwnLimitDemand records the demand of this host, a reader.
func (h *Hub) setOwnLimitDemand(demand []targetlimit.ServiceDemand) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.limits.own = targetlimit.NewReport(demand, time.Now())
}

// sendLimitDemand sends the other readers what this host and its followers report, and the
// followers the totals of the fleet, which it returns. The caller holds the lock.
func (h *Hub) sendLimitDemand(now time.Time) []targetlimit.ServiceDemand {
	var sum targetlimit.Totals
	sum.Add(h.limits.own, now)
	for f := range h.followers {
		sum.Add(f.limitDemand, now)
	}
	h.multicastLimitDemand(sum.List(), func(f *follower) bool { return f.observe })
	for _, report := range h.limits.readers {
		sum.Add(report, now)
	}
	totals := sum.List()
	h.multicastLimitDemand(totals, func(f *follower) bool { return !f.observe })
	return totals
}

// multicastLimitDemand sends a demand to the wanted followers, if there is one. The caller
// holds the lock.
func (h *Hub) multicastLimitDemand(demand []targetlimit.ServiceDemand, wanted func(*follower) bool) {
	if len(demand) == 0 || len(h.followers) == 0 {
		return
	}
	m := h.newMessage()
	m.LimitDemand = demand
	h.multicast(m, wanted)
}

// notifyLimitTotals passes the totals of the fleet to this host, if there are some.
func (h *Hub) notifyLimitTotals(totals []targetlimit.ServiceDemand) {
	if len(totals) > 0 && h.limits.hooks.SetTotals != nil {
		h.limits.hooks.SetTotals(totals)
	}
}

// ReportLimits tells the other hosts what targets stated to this host of their request rate,
// and its demand for their services. A host that is no reader and has no link knows nothing of
// the others' demand and reports none.
func (s *Source) ReportLimits(notices []targetlimit.Notice, demand []targetlimit.ServiceDemand) {
	if len(notices) > 0 {
		s.opts.Hub.passOnLimits(notices)
	}
	if l := s.currentLink(); l != nil {
		l.send(&message{Limits: notices, LimitDemand: demand})
		return
	}
	if s.IsReader() {
		s.opts.Hub.setOwnLimitDemand(demand)
	}
}
