package relay

import (
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// hedgeQuorum is the share of the shards that must be settled before the others
	// are hedged.
	hedgeQuorum = 0.5
	// hedgeRecheck is the interval between checks of that quorum, as a factor of the
	// usual response time.
	hedgeRecheck = 0.25
)

// sweep is a run that queries all shards of a route.
type sweep struct {
	*run
	legs []leg
	// minShards is the number of shards that must answer for a reply with status 200.
	minShards int
	// sent is the number of legs that were sent, parts that of the shards that answered.
	sent  int
	parts int
	// settled is the number of shards that answered or that get no more attempts.
	settled int
	// ran is set once a failed attempt may have run on its target.
	ran bool
	// overdue is set once the objective has passed without enough shards.
	overdue bool
	// held are the legs that are not sent before the first one has been answered.
	held []int
	// nextHedgeCheck is the earliest time of the next check for late shards.
	nextHedgeCheck time.Time
}

// sweep queries every shard of the route and merges their replies.
func (r *run) sweep() *exchange.Answer {
	s := &sweep{run: r, legs: make([]leg, len(r.route.Shards)), minShards: r.route.LeastShards()}
	r.events = make(chan event, len(s.legs)*(r.route.MaxAttempts+extraAttempts)+extraEvents)
	defer r.release()
	answer := s.start(time.Now())
	if answer == nil {
		answer = s.wait()
	}
	now := time.Now()
	r.result = r.resultOf(answer, s.legs, len(s.legs)-s.minShards, now)
	answer.Trace = s.trace(s.legs, now)
	if answer.Trace.Late || answer.Missing > 0 || answer.Reason != "" {
		s.explain(answer.Trace, s.legs, now)
	}
	grace := abandonGrace
	if answer.Reason == exchange.CallerLeft {
		grace = callerLeftGrace
	}
	for i := range s.legs {
		s.cancelPending(&s.legs[i], grace)
	}
	return answer
}

// start chooses a target for every shard before it sends any sub-request, so that
// a request that can't reach enough shards is refused before any work on it. It
// returns the refusal, or nil.
func (s *sweep) start(now time.Time) *exchange.Answer {
	chosen := make([]choice, len(s.legs))
	reached, tooLate := s.choose(chosen, now)
	if reached < s.minShards {
		return s.refuseUnserved(exchange.LowCoverage, now)
	}
	if reached-tooLate < s.minShards {
		return refuse(exchange.NoRoom, s.retryDelay(chosen))
	}
	for i, c := range chosen {
		switch {
		case c.pool == nil:
			s.settle(i)
		case s.alone && s.sent > 0:
			s.hold(i)
		default:
			s.send(c, i, now)
		}
	}
	return nil
}

// send sends a leg for the first time.
func (s *sweep) send(to choice, i int, now time.Time) {
	s.sent++
	s.legs[i].group.CountRequest(now)
	s.sendTo(to, &s.legs[i], i, now)
}

// retryDelay returns the time in which the queues for the chosen targets are
// expected to clear. A random addition spreads the retries of refused callers.
func (s *sweep) retryDelay(chosen []choice) time.Duration {
	longest := time.Duration(0)
	for _, c := range chosen {
		if c.pool != nil && c.load.Room <= 0 {
			longest = max(longest, replica.Estimate(c.load, s.expectedTimes.usual))
		}
	}
	return min(longest+rand.N(longest+time.Millisecond), retryLongest)
}

// choose selects a target for each shard. It returns the number of shards with a
// target and how many of these would answer too late because of queued calls.
func (s *sweep) choose(chosen []choice, now time.Time) (reached, tooLate int) {
	within := s.times.onTime.Sub(now)
	for i, name := range s.route.Shards {
		group := s.snapshot.Group(name)
		s.legs[i].service, s.legs[i].group = name, group
		if group == nil {
			continue
		}
		group.CountDemand()
		chosen[i] = s.executor.choose(s.route, group, nil, s.expectedTimes.usual, now)
		if chosen[i].pool == nil {
			continue
		}
		s.legs[i].reachable = true
		reached++
		if replica.QueueExceeds(chosen[i].load, s.expectedTimes.usual, within) {
			s.legs[i].queue = replica.Estimate(chosen[i].load, s.expectedTimes.usual)
			tooLate++
		}
	}
	return reached, tooLate
}

// settle marks a shard that has not answered as needing no further attempts.
func (s *sweep) settle(i int) {
	s.legs[i].settled = true
	s.settled++
}

// wait processes outcomes, hedges and timeouts until there is an answer.
func (s *sweep) wait() *exchange.Answer {
	timer := time.NewTimer(time.Until(s.nextWakeup(time.Now())))
	defer timer.Stop()
	lost := s.linksLost()
	for {
		now := time.Now()
		if answer := s.decide(now); answer != nil {
			return answer
		}
		select {
		case <-lost:
			lost = nil
			if s.parts < s.minShards && s.canHandOver() {
				return withoutLinks()
			}
		case ev := <-s.events:
			s.outcome(ev, time.Now())
		case <-timer.C:
			s.drain()
			now = time.Now()
			if answer := s.decide(now); answer != nil {
				return answer
			}
			s.hedge(now)
			timer.Reset(max(s.nextWakeup(now).Sub(now), time.Millisecond))
		case <-s.callerGone:
			s.ended = true
			s.drain()
			if answer := s.decide(time.Now()); answer != nil && answer.Status == http.StatusOK {
				return answer
			}
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// drain processes all outcomes that have already arrived, without blocking.
func (s *sweep) drain() {
	for {
		select {
		case ev := <-s.events:
			s.outcome(ev, time.Now())
		default:
			return
		}
	}
}

// decide returns the answer once waiting longer can't improve it: all shards are
// settled, the objective is about to pass and enough shards have answered, too few
// shards are left, or the request has timed out. Otherwise it returns nil.
func (s *sweep) decide(now time.Time) *exchange.Answer {
	enough := s.parts >= s.minShards
	switch {
	case s.settled == len(s.legs) && enough:
		return s.merged()
	case enough && !now.Before(s.times.onTime):
		return s.cutOff()
	case len(s.legs)-(s.settled-s.parts) < s.minShards:
		return s.failed(exchange.LowCoverage)
	case !now.Before(s.times.final):
		return s.failed(exchange.TimedOut)
	default:
		if s.overdue = !now.Before(s.times.onTime); s.overdue {
			s.dropWaiting()
		}
		return nil
	}
}

// outcome processes the end of an attempt. If it failed, the shard is retried or,
// if no retry is possible and no other attempt is pending, settled.
func (s *sweep) outcome(ev event, now time.Time) {
	l := &s.legs[ev.leg]
	if l.settled {
		l.pending--
		return
	}
	if s.recordOutcome(l, ev) {
		s.parts++
		s.settled++
		s.sendHeld(now)
		return
	}
	s.ran = s.ran || l.ran > 0
	if s.retry(l, ev, now) || l.pending > 0 {
		return
	}
	s.settle(ev.leg)
	s.dropHeld(l)
}

// hedge sends a second attempt for each late shard once the quorum of shards is
// settled. Before that, the delay is likely to be caused by this host or to affect
// all targets, and hedges would only add load.
func (s *sweep) hedge(now time.Time) {
	s.checkSilence(now)
	if float64(s.settled) < s.executor.opts.Policy.quorum()*float64(len(s.legs)) {
		s.nextHedgeCheck = now.Add(max(time.Duration(hedgeRecheck*float64(s.expectedTimes.usual)), time.Millisecond))
		return
	}
	for i := range s.legs {
		l := &s.legs[i]
		if l.settled || l.hedged || now.Before(l.hedgeAt) {
			continue
		}
		s.run.hedge(l, i, now)
	}
}

// nextWakeup returns when the sweep must act if no outcome arrives before.
func (s *sweep) nextWakeup(now time.Time) time.Time {
	next := s.times.final
	if now.Before(s.times.onTime) {
		next = s.times.onTime
	}
	for i := range s.legs {
		l := &s.legs[i]
		if l.settled || l.hedged {
			continue
		}
		at := l.hedgeAt
		if at.Before(s.nextHedgeCheck) {
			at = s.nextHedgeCheck
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

// cutOff returns the answer without the shards that have not answered in time. An answer
// that had to wait for enough shards after the objective isn't one that was cut off.
func (s *sweep) cutOff() *exchange.Answer {
	answer := s.merged()
	answer.CutOff = !s.overdue
	return answer
}

// merged returns the answer made from the replies so far.
func (s *sweep) merged() *exchange.Answer {
	signatures := make([]string, 0, s.parts)
	parts := make([][]byte, 0, s.parts)
	for i := range s.legs {
		if reply := s.legs[i].reply; reply != nil {
			signatures = append(signatures, reply.Signature)
			parts = append(parts, reply.Body)
		}
	}
	return &exchange.Answer{
		Status:     200,
		Signatures: signatures,
		Missing:    len(s.legs) - len(parts),
		Body:       greatest(parts, s.route.TopK),
	}
}

// failed returns the answer for a sweep without enough shards. It is a refusal,
// which states that the request did not run, only if no target may have run it.
func (s *sweep) failed(reason exchange.Reason) *exchange.Answer {
	ran := s.ran || s.parts > 0
	for i := range s.legs {
		ran = ran || s.legs[i].pending > 0 || s.legs[i].ran > 0
	}
	switch {
	case reason == exchange.TimedOut:
		return &exchange.Answer{Status: 504, Reason: reason}
	case ran:
		return &exchange.Answer{Status: 502, Reason: reason}
	default:
		return s.refuseUnserved(reason, time.Now())
	}
}
