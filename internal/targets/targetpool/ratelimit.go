package targetpool

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

const (
	// limitLinesPerSecond bounds the log lines of one pool about its target's limit.
	limitLinesPerSecond = 1
	// longestPermitWait bounds the time after which a caller is told to try again: another
	// host may have a permit sooner.
	longestPermitWait = 2 * time.Second
)

// rateLimit is what a pool knows of the request rate that its target takes, and this host's
// permits for it. The pool's lock guards it.
type rateLimit struct {
	stated  targetlimit.Statement
	permits targetlimit.Bucket
	// since is when the present limit was first known, sent the number of calls sent since.
	since time.Time
	sent  int
	lines *logging.Budget
	// shared belongs to the directory; nil for a pool without one. demand is that for the
	// target's service.
	shared *limitedTargets
	demand *serviceDemand
}

// noteLimit records the limit that a reply states, or that it states none any more, and
// returns the waiting calls that may not be sent any more. The reply of another process at
// the target's address says nothing about the target. The caller holds the lock and ends the
// calls after releasing it.
func (p *Pool) noteLimit(reply *exchange.Reply, now time.Time) []*Call {
	l := p.rateLimit.shared
	switch {
	case reply.OtherTarget || l == nil:
		return nil
	case reply.StatesLimit:
		l.named.Inc(1)
		return p.setLimit(targetlimit.Statement{Limited: true, PerSecond: reply.Limit, At: now}, now)
	case reply.InvalidLimit:
		l.invalid.Inc(1)
	case p.rateLimit.stated.Limited:
		p.setLimit(targetlimit.Statement{At: now}, now)
	}
	return nil
}

// setLimit replaces the target's statement and returns the waiting calls that may not be sent
// any more. The caller holds the lock.
func (p *Pool) setLimit(s targetlimit.Statement, now time.Time) []*Call {
	before := p.rateLimit.stated
	p.rateLimit.stated = s
	p.rateLimit.shared.note(p, now)
	if s.SameLimit(before) {
		return nil
	}
	p.logLimit(before, now)
	p.rateLimit.since, p.rateLimit.sent = now, 0
	allowance := p.rateLimit.demand.part().Allowance(s.PerSecond)
	if before.Limited {
		p.rateLimit.permits.SetAllowance(allowance, now)
	} else {
		p.rateLimit.permits = targetlimit.NewBucket(allowance, p.rateLimit.shared.phase, now)
	}
	return p.takeOverLimit(now)
}

// logLimit logs a changed limit and what was sent under the one before it. The caller holds
// the lock.
func (p *Pool) logLimit(before targetlimit.Statement, now time.Time) {
	message := "target no longer limits its request rate"
	if p.rateLimit.stated.Limited {
		message = "target limits its request rate"
	}
	ok, omitted := p.rateLimit.lines.Take(message, now)
	if !ok {
		return
	}
	fields := logrus.Fields{
		"limit_per_s": p.rateLimit.stated.PerSecond, "age_ms": now.Sub(p.rateLimit.stated.At).Milliseconds(),
		"share": p.rateLimit.demand.part().Share, "lines_left_out": omitted,
	}
	if before.Limited {
		fields["before_per_s"], fields["before_ms"] = before.PerSecond, now.Sub(p.rateLimit.since).Milliseconds()
		fields["before_sent"] = p.rateLimit.sent
	}
	p.log.WithFields(fields).Info(message)
}

// renewLimit applies this host's present share of the limit, and ends one that no host has
// heard of for long. It reports whether the target is limited.
func (p *Pool) renewLimit(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || !p.rateLimit.stated.Limited {
		return false
	}
	if p.rateLimit.stated.Expired(now) {
		p.setLimit(targetlimit.Statement{At: p.rateLimit.stated.At}, now)
		return false
	}
	p.rateLimit.permits.SetAllowance(p.rateLimit.demand.part().Allowance(p.rateLimit.stated.PerSecond), now)
	return true
}

// adoptLimit records a statement that another host has heard.
func (p *Pool) adoptLimit(s targetlimit.Statement, now time.Time) {
	p.mu.Lock()
	var held []*Call
	if s.Supersedes(p.rateLimit.stated) {
		held = p.setLimit(s, now)
	}
	p.mu.Unlock()
	endAll(held, ErrLimited, now)
}

// limitHeld returns the time until one more call may be sent to a target that limits its rate,
// 0 if one may now. Calls that wait already go first. The caller holds the lock.
func (p *Pool) limitHeld(now time.Time) time.Duration {
	if !p.rateLimit.stated.Limited {
		return 0
	}
	return p.rateLimit.permits.Wait(len(p.waiting)+1, now, longestPermitWait)
}

// countLimited takes a permit for a call that is sent to a limited target. The caller holds
// the lock.
func (p *Pool) countLimited(now time.Time) {
	if !p.rateLimit.stated.Limited {
		return
	}
	p.rateLimit.sent++
	p.rateLimit.shared.calls.Inc(1)
	p.rateLimit.permits.Take(now)
}

// takeOverLimit removes and returns the last waiting calls, as many as there are no permits
// for. The caller holds the lock.
func (p *Pool) takeOverLimit(now time.Time) []*Call {
	if len(p.waiting) == 0 || !p.rateLimit.stated.Limited {
		return nil
	}
	taken := p.takeLast(len(p.waiting) - p.rateLimit.permits.Permits(now))
	p.rateLimit.shared.held.Inc(int64(len(taken)))
	return taken
}

// takeLast removes and returns the last n waiting calls, none if n is negative. The caller
// holds the lock.
func (p *Pool) takeLast(n int) []*Call {
	if n <= 0 {
		return nil
	}
	keep := len(p.waiting) - n
	taken := append([]*Call(nil), p.waiting[keep:]...)
	p.waiting = p.waiting[:keep]
	for _, call := range taken {
		call.waiting = false
	}
	return taken
}
