package targetpool

import (
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// limitLinesPerSecond bounds the log lines about limits of targets of one pool.
const limitLinesPerSecond = 1

// rateLimit is what a pool knows of the request rate that its target takes. The pool's lock
// guards it.
type rateLimit struct {
	stated targetlimit.Statement
	// since is when the present limit was first known, sent the number of calls sent since.
	since time.Time
	sent  int
	// named and invalid count the replies with a limit and with an unreadable one.
	named, invalid tally.Counter
	// calls counts the calls that were sent to limited targets.
	calls tally.Counter
	lines *logging.Budget
}

func newRateLimit(scope metrics.Scope) rateLimit {
	return rateLimit{
		lines: logging.NewBudget(limitLinesPerSecond),
		named: scope.Counter("target_limits"), invalid: scope.Counter("target_limits_invalid"),
		calls: scope.Counter("calls_to_limited"),
	}
}

// noteLimit records the limit that a reply states, or that it states none any more. The reply
// of another process at the target's address says nothing about the target. The caller holds
// the lock.
func (p *Pool) noteLimit(reply *exchange.Reply, now time.Time) {
	switch {
	case reply.OtherTarget:
	case reply.StatesLimit:
		p.rateLimit.named.Inc(1)
		p.setLimit(targetlimit.Statement{Limited: true, PerSecond: reply.Limit, At: now}, now)
	case reply.InvalidLimit:
		p.rateLimit.invalid.Inc(1)
	case p.rateLimit.stated.Limited:
		p.setLimit(targetlimit.Statement{At: now}, now)
	}
}

// setLimit replaces the target's statement. The caller holds the lock.
func (p *Pool) setLimit(s targetlimit.Statement, now time.Time) {
	before := p.rateLimit.stated
	p.rateLimit.stated = s
	if s.SameLimit(before) {
		return
	}
	p.logLimit(before, now)
	p.rateLimit.since, p.rateLimit.sent = now, 0
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
	fields := logrus.Fields{"limit_per_s": p.rateLimit.stated.PerSecond, "lines_left_out": omitted}
	if before.Limited {
		fields["before_per_s"], fields["before_ms"] = before.PerSecond, now.Sub(p.rateLimit.since).Milliseconds()
		fields["before_sent"] = p.rateLimit.sent
	}
	p.log.WithFields(fields).Info(message)
}

// countLimited counts a call that is sent to a limited target. The caller holds the lock.
func (p *Pool) countLimited() {
	if p.rateLimit.stated.Limited {
		p.rateLimit.sent++
		p.rateLimit.calls.Inc(1)
	}
}
