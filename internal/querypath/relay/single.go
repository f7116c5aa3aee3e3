package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// retryNoRoom is the Retry-After if no target could accept the request.
const retryNoRoom = 300 * time.Millisecond

// retryLongest is the longest Retry-After derived from the queues of targets.
const retryLongest = 2 * time.Second

// maxRefusals is the number of attempts that targets may refuse before the request
// itself is refused.
const maxRefusals = 4

// single is a run that sends the request to one service.
type single struct {
	*run
	leg leg
	// refused is the number of attempts that did not run.
	refused int
}

// single serves a request from one service and attaches its trace to the answer.
func (r *run) single(service catalog.ServiceName) *exchange.Answer {
	s := &single{run: r}
	defer r.release()
	answer := s.serve(service)
	legs := []leg{s.leg}
	now := time.Now()
	r.result = r.resultOf(answer, legs, 0, now)
	answer.Trace = r.trace(legs, now)
	if answer.Trace.Late || answer.Reason != "" {
		r.explain(answer.Trace, legs, now)
	}
	grace := abandonGrace
	if answer.Reason == exchange.CallerLeft {
		grace = callerLeftGrace
	}
	s.cancelPending(&s.leg, grace)
	return answer
}

// serve sends the request and waits for the answer. It refuses the request if no
// target can take it in time.
func (s *single) serve(service catalog.ServiceName) *exchange.Answer {
	r := s.run
	r.events = make(chan event, r.route.MaxAttempts+maxRefusals+extraEvents)
	s.leg.service, s.leg.group = service, r.snapshot.Group(service)
	now := time.Now()
	if s.leg.group == nil {
		return refuse(exchange.NoTarget, retryNoRoom)
	}
	s.leg.group.CountDemand()
	chosen := r.executor.choose(r.route, s.leg.group, nil, r.expectedTimes.usual, now)
	if chosen.pool == nil {
		return r.refuseUnserved(s.leg.group, exchange.NoTarget, now)
	}
	s.leg.reachable = true
	if replica.QueueExceeds(chosen.load, r.expectedTimes.usual, r.times.final.Sub(now)) {
		s.leg.shed = true
		return refuse(exchange.NoRoom, min(replica.Estimate(chosen.load, r.expectedTimes.usual), retryLongest))
	}
	r.sendTo(chosen, &s.leg, 0, now)
	s.leg.group.CountRequest(now)
	return s.wait()
}

// wait processes outcomes, hedges and timeouts until there is an answer.
func (s *single) wait() *exchange.Answer {
	now := time.Now()
	timer := time.NewTimer(s.nextWakeup().Sub(now))
	defer timer.Stop()
	lost := s.linksLost()
	for {
		select {
		case <-lost:
			lost = nil
			if s.canHandOver() {
				return withoutLinks()
			}
		case ev := <-s.events:
			if answer := s.outcome(ev, time.Now()); answer != nil {
				return answer
			}
		case <-timer.C:
			now := time.Now()
			if !now.Before(s.times.final) {
				return s.readyOr(&exchange.Answer{Status: 504, Reason: exchange.TimedOut})
			}
			s.hedge(now)
			timer.Reset(max(s.nextWakeup().Sub(now), time.Millisecond))
		case <-s.callerGone:
			return s.readyOr(&exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true})
		}
	}
}

// readyOr ends the run. It returns the answer that outcomes which have already arrived provide,
// otherwise the given one.
func (s *single) readyOr(otherwise *exchange.Answer) *exchange.Answer {
	s.ended = true
	for {
		select {
		case ev := <-s.events:
			if answer := s.outcome(ev, time.Now()); answer != nil && answer.Relayed != nil {
				return answer
			}
		default:
			return otherwise
		}
	}
}

// outcome processes the end of an attempt. It returns the answer, or nil while
// another attempt may provide one.
func (s *single) outcome(ev event, now time.Time) *exchange.Answer {
	l := &s.leg
	if s.recordOutcome(l, ev) {
		return &exchange.Answer{Status: l.reply.Status, Relayed: l.reply}
	}
	if ev.outcome.Verdict == verdict.NotRun {
		s.refused++
	}
	if r := ev.outcome.Reply; r != nil && ev.outcome.Verdict == verdict.Ran && r.Status < 500 && r.Status >= 300 {
		return relayed(r)
	}
	if s.refused < maxRefusals && s.retry(l, ev, now) || l.pending > 0 {
		return nil
	}
	return s.failed(ev)
}

// failed returns the answer after the last attempt has failed.
func (s *single) failed(ev event) *exchange.Answer {
	switch {
	case s.leg.ran == 0:
		return s.refuseUnserved(s.leg.group, exchange.NoRoom, time.Now())
	case s.leg.failure != nil && s.leg.failure.Status >= 300:
		return relayed(s.leg.failure)
	case ev.outcome.Reply == nil:
		return &exchange.Answer{Status: 502, Reason: exchange.TargetSilent}
	default:
		return &exchange.Answer{Status: 502, Reason: exchange.TargetFailed}
	}
}

// hedge sends a second attempt if the first is late and the route is idempotent.
func (s *single) hedge(now time.Time) {
	s.checkSilence(now)
	l := &s.leg
	if !s.route.Idempotent || l.hedged || now.Before(l.hedgeAt) {
		return
	}
	s.run.hedge(l, 0, now)
}

// nextWakeup returns when the run must act if no outcome arrives before.
func (s *single) nextWakeup() time.Time {
	if s.route.Idempotent && !s.leg.hedged && s.leg.hedgeAt.Before(s.times.final) {
		return s.leg.hedgeAt
	}
	return s.times.final
}
