package relay

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// abandonGrace is how long a sub-request whose result is no longer needed may
	// continue before its connection is closed. Opening a new connection costs the
	// target about as much as the rest of the work.
	abandonGrace = 350 * time.Millisecond
	// callerLeftGrace replaces abandonGrace after the caller has disconnected.
	callerLeftGrace = 150 * time.Millisecond
	// extraAttempts is the number of attempts of a leg beyond the route's maximum,
	// which counts the targets that may run it: one attempt that reached no target
	// and one retry at the same target.
	extraAttempts = 2
	// hedgeRecheckLeast is the least interval at which a hedge is considered that could
	// not be sent before.
	hedgeRecheckLeast = 5 * time.Millisecond
	// extraEvents is the spare capacity of a run's event channel.
	extraEvents = 8
)

// run is the state of one request in progress.
type run struct {
	executor *Executor
	snapshot *targetpool.Snapshot
	route    *catalog.Route
	request  *exchange.Request
	// callerGone is closed when the caller disconnects.
	callerGone    <-chan struct{}
	routeStats    *routeStats
	expectedTimes expectedTimes
	times         schedule
	// events receives the outcomes of all attempts.
	events chan event
	// ended is set once no more attempts are sent.
	ended bool
	// alone is set while the request may run on one target only, as another one crashed while
	// it had the request.
	alone bool
	// heldBytes is the size of the replies that the run keeps.
	heldBytes int
	// limited is set if the gate limits the run's group, and result is how the run ended.
	limited bool
	result  overload.Result
}

// leg is the part of a run that one service handles: one shard of a sweep, or the
// whole of a single request.
type leg struct {
	service  catalog.ServiceName
	group    *targetpool.Group
	attempts []attempt
	// tried holds the pool of each attempt.
	tried []*targetpool.Pool
	// pending is the number of attempts without an outcome.
	pending int
	// ran is the number of targets that may have run an attempt.
	ran int
	// arrived is the number of ended attempts that were sent to a target.
	arrived int
	// retriedSame is set once a target has been tried a second time.
	retriedSame bool
	// hedgeAt is when the leg counts as late and may be hedged.
	hedgeAt time.Time
	// hedged is set once a hedge was sent or none may be.
	hedged bool
	// shed is set if a target, or the host's own queue for it, refused an attempt for lack
	// of room; waited is the longest time that an attempt waited for a connection in use.
	shed   bool
	waited time.Duration
	// served is set once a target has answered with success; nil before the first attempt.
	served *atomic.Bool
	// settled is set once the leg has answered or gets no more attempts.
	settled bool
	// reply is the successful reply.
	reply *exchange.Reply
	// failure is the last unsuccessful reply.
	failure *exchange.Reply

	// The remaining fields are only used for the trace.

	// reachable is set if a target was available.
	reachable bool
	// queue is the expected time until an answer if it is too long because of queued
	// calls, otherwise 0.
	queue time.Duration
	// replied is when the successful reply came, and answered the index of its attempt.
	replied  time.Time
	answered int
	hedges   int
	retries  int
	// denied is the number of hedges and retries that exceeded the budget.
	denied int
	// unreached is set if the last ended attempt reached no target.
	unreached bool
}

// attempt is one sub-request of a leg.
type attempt struct {
	call *targetpool.Call
	pool *targetpool.Pool
	// begun is when the call was submitted to the pool.
	begun time.Time
	// ran is set if the target is counted in the leg's ran.
	ran bool
}

// event is the outcome of an attempt.
type event struct {
	// leg and attempt are indices into the run's legs and the leg's attempts.
	leg     int
	attempt int
	outcome targetpool.Outcome
}

// sendTo sends another attempt of a leg to a target.
func (r *run) sendTo(to choice, l *leg, index int, now time.Time) {
	number := len(l.attempts)
	if l.served == nil {
		l.served = &atomic.Bool{}
	}
	call := &targetpool.Call{
		Request:  r.request,
		Deadline: r.times.deadline,
		OnTime:   r.times.onTime,
		Priority: r.route.Priority,
		Expected: r.expectedTimes.usual,
		Work:     r.expectedTimes.work,
		Answered: l.served,

		MaxReplyBytes: maxReplyBytes(r.executor.opts.Memory, r.route),
		Done:          func(o targetpool.Outcome) { r.events <- event{leg: index, attempt: number, outcome: o} },
	}
	l.attempts = append(l.attempts, attempt{call: call, pool: to.pool, begun: now})
	l.tried = append(l.tried, to.pool)
	l.pending++
	l.hedgeAt = r.executor.opts.Policy.hedgeTime(r.times, r.route, now, r.expectedTimes, to.otherReady)
	to.pool.Submit(call)
}

// hedge sends a second attempt for a leg that is late, if another target has a
// free connection and the budget allows it. Otherwise it is considered again later: a
// leg whose target has fallen silent would else wait for it until the request times out.
// After the objective the hedge may also wait for a connection.
func (r *run) hedge(l *leg, index int, now time.Time) {
	if !r.mayRepeat(l) {
		l.hedged = true
		return
	}
	l.hedgeAt = now.Add(max(r.expectedTimes.usual, hedgeRecheckLeast))
	chosen := r.executor.choose(r.route, l.group, l.tried, r.expectedTimes.usual, now)
	if chosen.pool == nil || chosen.load.Room <= 0 && now.Before(r.times.onTime) {
		return
	}
	if wait := r.foreseenWait(l, chosen.load, now); wait > 0 {
		l.hedgeAt = now.Add(wait)
		return
	}
	if chosen.load.ForeseenStall.Pausing() {
		// The hedge would wait there; it is considered again until the pause is over.
		return
	}
	if !l.group.TakeHedge(now) {
		// Counted once, however often the hedge is considered.
		l.denied = max(l.denied, 1)
		return
	}
	l.hedged = true
	l.hedges++
	r.sendTo(chosen, l, index, now)
}

// recordOutcome records the outcome of an attempt and reports whether it succeeded.
func (r *run) recordOutcome(l *leg, ev event) bool {
	l.pending--
	o := ev.outcome
	l.recordUnreached(o)
	l.recordQueueing(l.attempts[ev.attempt].begun, o)
	if !o.Sent.IsZero() {
		l.arrived++
	}
	if o.Verdict != verdict.NotRun {
		l.countRan(&l.attempts[ev.attempt])
	}
	if o.Reply != nil && o.Reply.Success() {
		r.routeStats.observe(l.attempts[ev.attempt].begun, o)
		r.executor.opts.Guard.Answered(r.request, string(l.service), o.Ended)
		l.reply, l.replied, l.answered = o.Reply, o.Ended, ev.attempt
		r.hold(o.Reply)
		l.settled = true
		return true
	}
	if o.Reply != nil && o.Verdict == verdict.Ran {
		l.failure = o.Reply
	}
	return false
}

// countRan counts the target of an attempt that may have run. Each target of a leg
// is counted once.
func (l *leg) countRan(a *attempt) {
	for i := range l.attempts {
		if l.attempts[i].pool == a.pool && l.attempts[i].ran {
			return
		}
	}
	a.ran = true
	l.ran++
}

// cancelPending cancels the pending attempts of a leg. Attempts that were already sent
// may continue for the given time before their connection is closed.
func (l *leg) cancelPending(within time.Duration) {
	if l.pending == 0 {
		return
	}
	for _, a := range l.attempts {
		a.pool.Cancel(a.call, within)
	}
}
