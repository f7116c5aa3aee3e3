package peer

import "time"

// heartbeatChecks is how often within its shortest timeout a link is looked at.
const heartbeatChecks = 4

// heartbeat closes a dialed link that is silent or unused and pings one that is
// quiet. It returns when the link is closed.
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
			// This process was paused: the answer may wait in the socket.
			l.pingedAt.Store(now.UnixNano())
		}
		last = now
		s.checkLink(l, now)
	}
}

func (s *session) checkLink(l *link, now time.Time) {
	open, lastUse := s.usage()
	if open == 0 && now.Sub(lastUse) >= s.opts.MaxIdle {
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
	if open > 0 {
		interval = s.opts.ProgressTimeout / heartbeatChecks
	}
	if l.quiet(now) >= interval {
		l.pingedAt.Store(now.UnixNano())
		s.outbox.push(outMessage{envelope: envelope{Type: typePing}})
	}
}
