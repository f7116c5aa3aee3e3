package peer

import "time"

// heartbeatChecks is the number of checks of a link within its shortest timeout.
const heartbeatChecks = 4

// heartbeat pings a dialed link on which nothing arrives, and closes one that does
// not answer a ping or is unused. It returns when the link is closed.
func (s *session) heartbeat(l *link) {
	interval := min(s.opts.ProgressTimeout, s.opts.IdlePing) / heartbeatChecks
	tick := time.NewTicker(interval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-l.closed:
			return
		case <-tick.C:
		}
		now := time.Now()
		if now.Sub(last) > 2*interval && l.pingedAt.Load() != 0 {
			// This process was paused, so the pong may still be unread in the
			// socket. Restart the timeout.
			l.pingedAt.Store(now.UnixNano())
		}
		last = now
		s.checkLink(l, now)
	}
}

func (s *session) checkLink(l *link, now time.Time) {
	pending, lastUse := s.usage()
	if pending == 0 && now.Sub(lastUse) >= s.opts.MaxIdle {
		l.close()
		return
	}
	if pinged := l.pingedAt.Load(); pinged != 0 {
		if now.UnixNano()-pinged >= int64(s.opts.ProgressTimeout) {
			s.counters.silentLinks.Inc(1)
			l.close()
		}
		return
	}
	interval := s.opts.IdlePing
	if pending > 0 {
		interval = s.opts.ProgressTimeout / heartbeatChecks
	}
	if l.silentFor(now) >= interval {
		l.pingedAt.Store(now.UnixNano())
		s.outbox.push(outMessage{envelope: envelope{Type: typePing}})
	}
}
