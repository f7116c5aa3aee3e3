package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// retryNoRoom is when a caller may ask again after no target could take it.
const retryNoRoom = 300 * time.Millisecond

// retryLongest bounds the time after which a refused caller is asked to return.
const retryLongest = 2 * time.Second

// maxRefusals bounds the targets that may refuse one request before the caller
// is refused.
const maxRefusals = 4

// single is a run at one service.
type single struct {
	*run
	leg     leg
	refused int
}

// single serves a request from one target of a service and accounts for it.
func (r *run) single(service catalog.ServiceName) *exchange.Answer {
	s := &single{run: r}
	answer := s.serve(service)
	legs := []leg{s.leg}
	now := time.Now()
	answer.Trace = r.account(legs, now)
	if answer.Trace.Late || answer.Reason != "" {
		explain(answer.Trace, legs, now)
	}
	return answer
}

// serve sends the request, unless it can't be served, and waits for the answer.
func (s *single) serve(service catalog.ServiceName) *exchange.Answer {
	r := s.run
	r.events = make(chan event, r.route.MaxAttempts+maxRefusals+spareEvents)
	s.leg.service, s.leg.group = service, r.snapshot.Group(service)
	now := time.Now()
	if s.leg.group == nil {
		return refuse(exchange.NoTarget, retryNoRoom)
	}
	chosen := r.executor.choose(s.leg.group, nil, r.pace.usual, now)
	if chosen.pool == nil {
		return refuse(exchange.NoTarget, retryNoRoom)
	}
	s.leg.reachable = true
	if replica.Overrun(chosen.load, r.pace.usual, r.times.final.Sub(now)) {
		return refuse(exchange.NoRoom, min(replica.Estimate(chosen.load, r.pace.usual), retryLongest))
	}
	r.sendTo(chosen, &s.leg, 0, now)
	s.leg.group.CountRequest(now)
	answer := s.wait()
	grace := loserGrace
	if answer.Reason == exchange.CallerLeft {
		grace = leftGrace
	}
	s.leg.withdraw(grace)
	return answer
}

// wait takes outcomes until the answer is decided.
func (s *single) wait() *exchange.Answer {
	now := time.Now()
	timer := time.NewTimer(s.nextTime().Sub(now))
	defer timer.Stop()
	for {
		select {
		case ev := <-s.events:
			if answer := s.outcome(ev, time.Now()); answer != nil {
				return answer
			}
		case <-timer.C:
			now := time.Now()
			if !now.Before(s.times.final) {
				return &exchange.Answer{Status: 504, Reason: exchange.TimedOut}
			}
			s.hedge(now)
			timer.Reset(max(s.nextTime().Sub(now), time.Millisecond))
		case <-s.gone:
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// outcome returns the answer, or nil while another attempt may bring one.
func (s *single) outcome(ev event, now time.Time) *exchange.Answer {
	l := &s.leg
	if s.take(l, ev) {
		return &exchange.Answer{Status: l.reply.Status, Relayed: l.reply}
	}
	if ev.outcome.Verdict == verdict.NotRun {
		s.refused++
	}
	if r := ev.outcome.Reply; r != nil && ev.outcome.Verdict == verdict.Ran && r.Status < 500 && r.Status >= 300 {
		return &exchange.Answer{Status: r.Status, Relayed: r}
	}
	if s.refused < maxRefusals && s.again(l, ev, now) || l.open > 0 {
		return nil
	}
	return s.failed(ev)
}

// failed is the answer once no attempt is left.
func (s *single) failed(ev event) *exchange.Answer {
	switch {
	case s.leg.ran == 0:
		return refuse(exchange.NoRoom, retryNoRoom)
	case s.leg.failure != nil && s.leg.failure.Status >= 300:
		return &exchange.Answer{Status: s.leg.failure.Status, Relayed: s.leg.failure}
	case ev.outcome.Reply == nil:
		return &exchange.Answer{Status: 502, Reason: exchange.TargetSilent}
	default:
		return &exchange.Answer{Status: 502, Reason: exchange.TargetFailed}
	}
}

// hedge asks a second target where the first is late and a repetition is allowed.
func (s *single) hedge(now time.Time) {
	l := &s.leg
	if !s.route.Idempotent || l.hedged || now.Before(l.hedgeAt) {
		return
	}
	s.run.hedge(l, 0, now)
}

// nextTime is when something happens without an outcome.
func (s *single) nextTime() time.Time {
	if s.route.Idempotent && !s.leg.hedged && s.leg.hedgeAt.Before(s.times.final) {
		return s.leg.hedgeAt
	}
	return s.times.final
}
