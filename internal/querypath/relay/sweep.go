package relay

import (
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// hedgeQuorum is the share of the shards that must have answered before
	// those that have not count as late.
	hedgeQuorum = 0.5
	// hedgeRecheck is the time until the next look, in usual times.
	hedgeRecheck = 0.25
)

// sweep is a run over many shards.
type sweep struct {
	*run
	legs  []leg
	least int
	// parts counts the shards that answered, settled those that need no wait.
	parts   int
	settled int
	// ran is set once any attempt may have run.
	ran bool
	// hedgeFrom is when the next look at late shards is due.
	hedgeFrom time.Time
}

// sweep asks each shard of the route and merges the parts.
func (r *run) sweep() *exchange.Answer {
	s := &sweep{run: r, legs: make([]leg, len(r.route.Shards)), least: r.route.LeastShards()}
	r.events = make(chan event, len(s.legs)*(r.route.MaxAttempts+attemptsBeyond)+spareEvents)
	answer := s.start(time.Now())
	if answer == nil {
		answer = s.wait()
	}
	now := time.Now()
	answer.Trace = s.account(s.legs, now)
	if answer.Trace.Late || answer.Missing > 0 || answer.Reason != "" {
		explain(answer.Trace, s.legs, now)
	}
	grace := loserGrace
	if answer.Reason == exchange.CallerLeft {
		grace = leftGrace
	}
	for i := range s.legs {
		s.legs[i].withdraw(grace)
	}
	return answer
}

// start chooses a target for each shard and then sends to all of them, so that
// a request that can't reach enough shards is refused before any work on it. It
// returns that refusal or nil.
func (s *sweep) start(now time.Time) *exchange.Answer {
	chosen := make([]choice, len(s.legs))
	reached, overrun := s.choose(chosen, now)
	if reached < s.least {
		return refuse(exchange.LowCoverage, retryNoRoom)
	}
	if reached-overrun < s.least {
		return refuse(exchange.NoRoom, s.roomAfter(chosen))
	}
	for i, c := range chosen {
		if c.pool == nil {
			s.settle(i)
			continue
		}
		s.legs[i].group.CountRequest(now)
		s.sendTo(c, &s.legs[i], i, now)
	}
	return nil
}

// roomAfter is when the shards that are overrun now will have worked off what
// waits, with a spread so that refused callers don't return together.
func (s *sweep) roomAfter(chosen []choice) time.Duration {
	longest := time.Duration(0)
	for _, c := range chosen {
		if c.pool != nil && c.load.Room <= 0 {
			longest = max(longest, replica.Estimate(c.load, s.pace.usual))
		}
	}
	return min(longest+rand.N(longest+time.Millisecond), retryLongest)
}

// choose fills in a target for each shard and returns how many have one and how
// many of these would answer too late for what waits already.
func (s *sweep) choose(chosen []choice, now time.Time) (reached, overrun int) {
	within := s.times.onTime.Sub(now)
	for i, name := range s.route.Shards {
		group := s.snapshot.Group(name)
		s.legs[i].service, s.legs[i].group = name, group
		if group == nil {
			continue
		}
		chosen[i] = s.executor.choose(group, nil, s.pace.usual, now)
		if chosen[i].pool == nil {
			continue
		}
		s.legs[i].reachable = true
		reached++
		if replica.Overrun(chosen[i].load, s.pace.usual, within) {
			overrun++
		}
	}
	return reached, overrun
}

// settle gives a shard up.
func (s *sweep) settle(i int) {
	s.legs[i].settled = true
	s.settled++
}

// wait takes outcomes until the answer is decided.
func (s *sweep) wait() *exchange.Answer {
	timer := time.NewTimer(time.Until(s.nextTime(time.Now())))
	defer timer.Stop()
	for {
		now := time.Now()
		if answer := s.decide(now); answer != nil {
			return answer
		}
		select {
		case ev := <-s.events:
			s.outcome(ev, time.Now())
		case <-timer.C:
			s.drain()
			now = time.Now()
			if answer := s.decide(now); answer != nil {
				return answer
			}
			s.hedge(now)
			timer.Reset(max(s.nextTime(now).Sub(now), time.Millisecond))
		case <-s.gone:
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// drain takes the outcomes that are there already.
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

// decide returns the answer once waiting longer serves the caller no better:
// all shards are settled, the objective is about to pass with enough of them,
// or the time is over.
func (s *sweep) decide(now time.Time) *exchange.Answer {
	enough := s.parts >= s.least
	switch {
	case s.settled == len(s.legs) && enough, enough && !now.Before(s.times.onTime):
		return s.merged()
	case len(s.legs)-(s.settled-s.parts) < s.least:
		return s.failed(exchange.LowCoverage)
	case !now.Before(s.times.final):
		return s.failed(exchange.TimedOut)
	default:
		return nil
	}
}

// outcome notes an attempt's end. A shard whose attempt failed is asked again
// or given up.
func (s *sweep) outcome(ev event, now time.Time) {
	l := &s.legs[ev.leg]
	if l.settled {
		l.open--
		return
	}
	if s.take(l, ev) {
		s.parts++
		s.settled++
		return
	}
	s.ran = s.ran || l.ran > 0
	if s.again(l, ev, now) || l.open > 0 {
		return
	}
	s.settle(ev.leg)
}

// hedge sends a second attempt for each shard whose answer is late, once most
// others have answered. While few have, the delay is this host's own or common to
// all targets; second attempts would add to it and help no one.
func (s *sweep) hedge(now time.Time) {
	if float64(s.settled) < s.executor.opts.Policy.quorum()*float64(len(s.legs)) {
		s.hedgeFrom = now.Add(max(time.Duration(hedgeRecheck*float64(s.pace.usual)), time.Millisecond))
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

// nextTime is when something happens without an outcome.
func (s *sweep) nextTime(now time.Time) time.Time {
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
		if at.Before(s.hedgeFrom) {
			at = s.hedgeFrom
		}
		if at.Before(next) {
			next = at
		}
	}
	return next
}

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

// failed is the answer without enough shards. It says that the request did not
// run only where no target may have run it.
func (s *sweep) failed(reason exchange.Reason) *exchange.Answer {
	ran := s.ran || s.parts > 0
	for i := range s.legs {
		ran = ran || s.legs[i].open > 0 || s.legs[i].ran > 0
	}
	switch {
	case reason == exchange.TimedOut:
		return &exchange.Answer{Status: 504, Reason: reason}
	case ran:
		return &exchange.Answer{Status: 502, Reason: reason}
	default:
		return refuse(reason, retryNoRoom)
	}
}
