package targetpool

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
)

// samePause is the greatest distance of two predictions of one pause's end.
const samePause = 100 * time.Millisecond

// stallState finds and predicts the pauses of one pool's target. The pool's lock guards it.
type stallState struct {
	detector stall.Detector
	pattern  stall.Pattern
	// judged is the end of the last predicted pause that was judged.
	judged time.Time
	// learner may be nil.
	learner *stallLearner
}

// observePause takes an exchange that ended and sets the part of it that predicted pauses
// took. The caller holds the lock.
func (p *Pool) observePause(now time.Time, e *replica.Exchange) {
	s := &p.stalls
	e.Foreseen = s.pattern.Within(e.Sent, now)
	if s.learner == nil || p.closed || e.Result != replica.Served || e.Expected <= 0 {
		return
	}
	r := stall.Reply{Sent: e.Sent, Replied: now, Usual: p.stats.Usual(now, e.Expected), Congested: p.stats.Overloaded()}
	if verdict, end := s.pattern.Judge(r); verdict != stall.Untested && end.Sub(s.judged).Abs() > samePause {
		s.judged = end
		s.learner.judge(p.target.ID, verdict)
	}
	if end, ok := s.detector.Observe(r); ok {
		s.learner.add(p.target, end, now)
	}
}

// addForeseen adds the predicted pause to the load and takes the time that it has lasted
// from the time without a reply. The caller holds the lock.
func (p *Pool) addForeseen(load *replica.Load, now time.Time) {
	if p.stalls.pattern.Period <= 0 {
		return
	}
	load.ForeseenStall = p.stalls.pattern.Next(now)
	if load.Stalled > 0 {
		load.Stalled -= p.stalls.pattern.Within(now.Add(-load.Stalled), now)
	}
}

// setPattern sets the prediction of the target's pauses.
func (p *Pool) setPattern(pattern stall.Pattern) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.stalls.pattern = pattern
}
