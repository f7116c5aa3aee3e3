package catalogshare

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
)

const (
	// pendingFor is how long a crash is kept that its host has not settled. Hosts settle them
	// within about a second.
	pendingFor = 2 * time.Second
	// maxPending bounds the crashes that are kept of one link.
	maxPending = 1024
)

// pendingCrashes are crashes that the host at the other end of a link has seen and not reported
// yet, since it finds out whether it has lost its links instead. If that host is lost meanwhile,
// they count as reported. It is safe for concurrent use.
type pendingCrashes struct {
	mu   sync.Mutex
	seen []pendingCrash
}

// pendingCrash is a crash that was told at the given time.
type pendingCrash struct {
	report crashguard.CrashReport
	told   time.Time
}

// update adds the crashes of a message, and forgets all before if their host has settled them.
func (p *pendingCrashes) update(m *message, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if m.CrashesSettled {
		p.seen = nil
	}
	for _, report := range m.PendingCrashes {
		if len(p.seen) < maxPending {
			p.seen = append(p.seen, pendingCrash{report: report, told: now})
		}
	}
}

// take removes all and returns those that were told within pendingFor.
func (p *pendingCrashes) take(now time.Time) []crashguard.CrashReport {
	p.mu.Lock()
	defer p.mu.Unlock()
	var reports []crashguard.CrashReport
	for _, c := range p.seen {
		passed := now.Sub(c.told)
		if passed >= pendingFor {
			continue
		}
		c.report.AgeMS += passed.Milliseconds()
		reports = append(reports, c.report)
	}
	p.seen = nil
	return reports
}

// SendPendingCrashes tells other hosts of crashes that this host has not settled yet.
func (s *Source) SendPendingCrashes(reports []crashguard.CrashReport) {
	s.sendPending(&message{PendingCrashes: reports})
}

// SendCrashesSettled tells them that what is true of these crashes has been reported.
func (s *Source) SendCrashesSettled() { s.sendPending(&message{CrashesSettled: true}) }

func (s *Source) sendPending(m *message) {
	s.opts.Hub.broadcastPending(m)
	if l := s.currentLink(); l != nil {
		l.send(m)
	}
}

// broadcastPending sends what a message says of crashes that are not settled to the followers.
func (h *Hub) broadcastPending(from *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.newMessage()
	m.PendingCrashes, m.CrashesSettled = from.PendingCrashes, from.CrashesSettled
	h.broadcast(m)
}

// adoptPending reports the crashes that a host which is lost has not settled.
func (h *Hub) adoptPending(p *pendingCrashes) {
	reports := p.take(time.Now())
	if len(reports) == 0 {
		return
	}
	h.log.WithField("reports", len(reports)).Info("crashes are reported for a host that was lost")
	h.AddCrashReports(reports)
}
