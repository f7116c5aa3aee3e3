package admission

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const (
	// limitInterval is the minimum time between adjustments of a limit.
	limitInterval = 100 * time.Millisecond
	// A queueing time of up to queueSlack plus queueExchanges times the duration of
	// an exchange is not a sign of overload.
	queueSlack     = 5 * time.Millisecond
	queueExchanges = 2
	// standingIntervals is the number of consecutive intervals with a standing queue
	// after which the limit is reduced.
	standingIntervals = 2
	// limitDecrease is the factor applied to a limit while there is a standing queue.
	limitDecrease = 0.9
	// limitIncrease is the share by which a limit grows while it is in use.
	limitIncrease = 0.05
	// minLimit and maxLimit bound every limit, in queries in flight.
	minLimit = 4
	maxLimit = 1 << 16
	// workloadReserveDivisor is the ratio of a limit to its reserve. Callers below an
	// equal share may exceed the limit by the reserve; the others must stay below the
	// limit by the same amount.
	workloadReserveDivisor = 8
	// tookDivisor is the inverse of the weight of a new sample in the moving average
	// of the exchange duration.
	tookDivisor = 8
)

// workloadLimit adapts the limit on one workload's queries in flight on this host to
// the capacity of its targets. A standing queue, which never empties, indicates
// overload: even the minimum queueing time in an interval exceeds the duration of a
// few exchanges.
type workloadLimit struct {
	mu       sync.Mutex
	limit    float64
	inflight int
	// callers is the number of queries in flight by caller, without zero entries.
	callers map[model.CallerID]int
	// peak is the maximum number of queries in flight since adjustedAt. A refusal
	// raises it to the bound that caused the refusal.
	peak int
	// adjustedAt is when the limit was last adjusted.
	adjustedAt time.Time
	// minWait is the minimum queueing time since adjustedAt, negative for none.
	minWait time.Duration
	// took is the exponentially weighted moving average of the exchange duration.
	took time.Duration
	// refused is set if a target refused work since adjustedAt because it was
	// overloaded.
	refused bool
	// standing is the number of consecutive intervals with a standing queue.
	standing int
}

func newWorkloadLimit() *workloadLimit {
	return &workloadLimit{limit: maxLimit, callers: make(map[model.CallerID]int), minWait: -1}
}

// enter admits a query of the caller and reports whether it did. With several
// active callers, those below an equal share of the limit may use the reserve above
// the limit, and the others must leave the reserve below it free.
func (l *workloadLimit) enter(caller model.CallerID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	own := l.callers[caller]
	active := len(l.callers)
	if own == 0 {
		active++
	}
	reserve := max(1, l.limit/workloadReserveDivisor)
	room := l.limit
	if active > 1 {
		room -= reserve
		if float64(own) < l.limit/float64(active) {
			room = l.limit + reserve
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

// leave ends a query of the caller and evaluates the load it observed.
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
		if l.minWait < 0 || o.Waited < l.minWait {
			l.minWait = o.Waited
		}
	}
	if now.Sub(l.adjustedAt) >= limitInterval {
		l.adjust(now)
	}
}

// adjust updates the limit at the end of an interval. The caller holds the lock.
func (l *workloadLimit) adjust(now time.Time) {
	if l.minWait > queueSlack+queueExchanges*l.took || (l.refused && l.minWait < 0) {
		l.standing++
	} else {
		l.standing = 0
	}
	switch {
	case l.standing >= standingIntervals:
		l.limit = max(minLimit, min(l.limit, float64(l.peak))*limitDecrease)
	case float64(l.peak) >= l.limit*(1-1.0/workloadReserveDivisor):
		l.limit = min(maxLimit, l.limit+max(1, l.limit*limitIncrease))
	}
	l.adjustedAt = now
	l.peak = l.inflight
	l.minWait = -1
	l.refused = false
}
