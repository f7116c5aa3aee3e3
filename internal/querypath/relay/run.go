package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

const (
	// loserGrace is how long a sub-request that nobody waits for any more may
	// run on before its connection is closed: a new connection costs the target
	// about as much as the rest of the work.
	loserGrace = 350 * time.Millisecond
	// leftGrace is the same after the caller has left.
	leftGrace = 150 * time.Millisecond
	// attemptsBeyond are those of a leg beyond one for each target that may run
	// it: one that reached none, and one more at the same target.
	attemptsBeyond = 2
	// spareEvents is the room for outcomes beyond one for each attempt.
	spareEvents = 8
)

// run is one request being served.
type run struct {
	executor *Executor
	snapshot *targetpool.Snapshot
	route    *catalog.Route
	request  *exchange.Request
	gone     <-chan struct{}
	kind     *kind
	pace     pace
	times    schedule
	events   chan event
}

// leg is the part of a run at one service.
type leg struct {
	service  catalog.ServiceName
	group    *targetpool.Group
	attempts []attempt
	tried    []*targetpool.Pool
	// open counts attempts without an outcome, ran the targets that may have run
	// one.
	open int
	ran  int
	// arrived counts attempts with an outcome that a target may have seen.
	arrived int
	// sameAgain is set once a target was asked a second time.
	sameAgain bool
	hedgeAt   time.Time
	hedged    bool
	settled   bool
	reply     *exchange.Reply
	// failure is the last reply that was no success.
	failure *exchange.Reply

	// The rest explains the leg afterwards. reachable is set where a target
	// could have been asked.
	reachable bool
	hedges    int
	retries   int
	denied    int
	unreached bool
}

type attempt struct {
	call  *targetpool.Call
	pool  *targetpool.Pool
	begun time.Time
	// ran is set where the target is counted in the leg's ran.
	ran bool
}

// event is an attempt's outcome.
type event struct {
	leg     int
	attempt int
	outcome targetpool.Outcome
}

// sendTo sends one more attempt of a leg to a target.
func (r *run) sendTo(to choice, l *leg, index int, now time.Time) {
	number := len(l.attempts)
	call := &targetpool.Call{
		Request:  r.request,
		Deadline: r.times.deadline,
		OnTime:   r.times.onTime,
		Priority: r.route.Priority,
		Expected: r.pace.usual,
		Done:     func(o targetpool.Outcome) { r.events <- event{leg: index, attempt: number, outcome: o} },
	}
	l.attempts = append(l.attempts, attempt{call: call, pool: to.pool, begun: now})
	l.tried = append(l.tried, to.pool)
	l.open++
	l.hedgeAt = r.executor.opts.Policy.hedgeTime(r.times, r.route, now, r.pace, to.otherReady)
	to.pool.Submit(call)
}

// hedge sends a second attempt beside one that is late, where a target with a
// free connection can take it: behind a queue it would help nobody.
func (r *run) hedge(l *leg, index int, now time.Time) {
	l.hedged = true
	if !r.mayRepeat(l) {
		return
	}
	chosen := r.executor.choose(l.group, l.tried, r.pace.usual, now)
	if chosen.pool == nil || chosen.load.Room <= 0 {
		return
	}
	if !l.group.TakeHedge(now) {
		l.denied++
		return
	}
	l.hedges++
	r.sendTo(chosen, l, index, now)
}

// take notes an attempt's outcome and reports whether it succeeded.
func (r *run) take(l *leg, ev event) bool {
	l.open--
	o := ev.outcome
	l.noteEnd(o)
	if !o.Sent.IsZero() {
		l.arrived++
	}
	if o.Verdict != verdict.NotRun {
		l.noteRun(&l.attempts[ev.attempt])
	}
	if o.Reply != nil && o.Reply.Success() {
		r.kind.observe(l.attempts[ev.attempt].begun, o)
		l.reply = o.Reply
		l.settled = true
		return true
	}
	if o.Reply != nil && o.Verdict == verdict.Ran {
		l.failure = o.Reply
	}
	return false
}

// noteRun counts the target of an attempt that may have run, once.
func (l *leg) noteRun(a *attempt) {
	for i := range l.attempts {
		if l.attempts[i].pool == a.pool && l.attempts[i].ran {
			return
		}
	}
	a.ran = true
	l.ran++
}

// withdraw ends the attempts of a leg that have no outcome yet.
func (l *leg) withdraw(within time.Duration) {
	if l.open == 0 {
		return
	}
	for _, a := range l.attempts {
		a.pool.Cancel(a.call, within)
	}
}
