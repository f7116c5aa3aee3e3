package admission

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const (
	// limitInterval is the time between decisions on a limit.
	limitInterval = 100 * time.Millisecond
	// queueSlack and queueExchanges typical exchanges together are the queueing
	// time that is no sign of overload.
	queueSlack     = 5 * time.Millisecond
	queueExchanges = 2
	// standingIntervals is how many intervals in a row a queue must stand.
	standingIntervals = 2
	// limitDecrease multiplies a limit while the queues stand.
	limitDecrease = 0.9
	// limitIncrease is the share by which a limit that is in use grows.
	limitIncrease = 0.05
	// minLimit and maxLimit bound every limit, in queries in flight.
	minLimit = 4
	maxLimit = 1 << 16
	// spareShare is the inverse of the part of a limit that callers below an
	// equal share may use above it, and others must leave below it.
	spareShare = 8
	// took's divisor is the inverse of the weight of a new sample.
	tookDivisor = 8
)

// workloadLimit adapts one workload's queries in flight on this host to what its
// targets carry. It takes a queue that never empties for overload: the least
// queueing time that any query met in an interval is above a few exchanges.
type workloadLimit struct {
	mu       sync.Mutex
	limit    float64
	inflight int
	callers  map[model.CallerID]int
	// peak is the most in flight since the last decision.
	peak      int
	decidedAt time.Time
	// least is the least queueing time met since then, negative for none.
	least time.Duration
	// took is the EWMA of the time of an exchange.
	took time.Duration
	// refused is set if targets refused work for lack of room since then.
	refused bool
	// stood counts the intervals in a row in which the queue stood.
	stood int
}

func newWorkloadLimit() *workloadLimit {
	return &workloadLimit{limit: maxLimit, callers: make(map[model.CallerID]int), least: -1}
}

// enter counts a query in unless the limit and the caller's share of it are
// used up. Callers below an equal share get in before all others.
func (l *workloadLimit) enter(caller model.CallerID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.callers[caller]
	active := len(l.callers)
	if own == 0 {
		active++
	}
	spare := max(1, l.limit/spareShare)
	room := l.limit
	if active > 1 {
		room -= spare
		if float64(own) < l.limit/float64(active) {
			room = l.limit + spare
		}
	}
	if float64(l.inflight+1) > room {
		l.peak = max(l.peak, int(room))
		return false
	}
	l.callers[caller] = own + 1
	l.inflight++
	l.peak = max(l.peak, l.inflight)
	return true
}

// leave counts a query out and takes in what it met.
func (l *workloadLimit) leave(caller model.CallerID, o *Observed, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.inflight--
	if l.callers[caller]--; l.callers[caller] <= 0 {
		delete(l.callers, caller)
	}
	l.refused = l.refused || o.Refused
	if o.Took > 0 {
		l.took += (o.Took - l.took) / tookDivisor
		if l.least < 0 || o.Waited < l.least {
			l.least = o.Waited
		}
	}
	if now.Sub(l.decidedAt) >= limitInterval {
		l.decide(now)
	}
}

// decide moves the limit after one interval.
func (l *workloadLimit) decide(now time.Time) {
	if l.least > queueSlack+queueExchanges*l.took || (l.refused && l.least < 0) {
		l.stood++
	} else {
		l.stood = 0
	}
	switch {
	case l.stood >= standingIntervals:
		l.limit = max(minLimit, min(l.limit, float64(l.peak))*limitDecrease)
	case float64(l.peak) >= l.limit*(1-1.0/spareShare):
		l.limit = min(maxLimit, l.limit+max(1, l.limit*limitIncrease))
	}
	l.decidedAt = now
	l.peak = l.inflight
	l.least = -1
	l.refused = false
}
