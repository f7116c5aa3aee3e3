package targetpool

import (
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/slowstart"
)

// evacuation is a pool's part in the evacuation of its target's failure domain. It is
// guarded by the pool's lock.
type evacuation struct {
	// evacuated is set while nothing may be sent to the target.
	evacuated bool
	// resumedAt is when the last evacuation ended, zero if the target has not been
	// evacuated. From then on its share of the load rises over returnPeriod.
	resumedAt    time.Time
	returnPeriod time.Duration
}

// withheld returns the share of requests that the target doesn't get yet.
func (e *evacuation) withheld(now time.Time) float64 {
	if e.resumedAt.IsZero() {
		return 0
	}
	return slowstart.Withheld(now.Sub(e.resumedAt), e.returnPeriod)
}

// evacuate ends all use of the target: waiting calls end with ErrEvacuated and go to a
// sibling, idle connections close, and calls in flight may finish.
func (p *Pool) evacuate(now time.Time) {
	p.mu.Lock()
	if p.evacuated || p.closed {
		p.mu.Unlock()
		return
	}
	p.evacuated = true
	calls, idle := p.takeWaiting(), p.idle
	p.idle = nil
	for _, c := range idle {
		// A connection that this host closes must not count as refused by the target.
		delete(p.conns, c)
	}
	p.mu.Unlock()
	p.countKept(len(calls))
	go closeAll(idle)
	endAll(calls, ErrEvacuated, now)
}

// countKept counts calls that were not sent since the target is evacuated.
func (p *Pool) countKept(calls int) {
	if calls > 0 {
		p.scope.Counter("calls_kept_from_evacuated").Inc(int64(calls))
	}
}

func closeAll(conns []*conn) {
	for _, c := range conns {
		c.close()
	}
}

// resume ends the evacuation. Warm connections open within the period.
func (p *Pool) resume(at time.Time, period time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.evacuated = false
	// Attempts that failed before the evacuation say nothing any more, and a spare
	// target is dialed again only by a call.
	p.resetFailures()
	p.beginReturn(at, period)
}

// beginReturn starts the time in which the load returns gradually. The caller holds the
// lock, or the pool is not in use yet.
func (p *Pool) beginReturn(at time.Time, period time.Duration) {
	p.resumedAt, p.returnPeriod = at, period
	after := rand.N(period)
	p.warmFrom = time.Now().Add(after)
	time.AfterFunc(after, p.redial)
}

// inFlight returns the number of calls in flight.
func (p *Pool) inFlight() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.inUse()
}
