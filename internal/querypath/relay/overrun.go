package relay

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// ownOverrunFirst and passedOverrunFirst are the allowances before an answer was cut
	// off. A host of a large fleet passes on a few sweeps a second, so it learns slowly.
	ownOverrunFirst    = 3 * time.Millisecond
	passedOverrunFirst = 12 * time.Millisecond
	// overrunRise and overrunFall change the allowance for an answer that was decided too
	// late, and for one in time. By their ratio about one in fifty is too late: such an
	// answer is worth little to its caller, while a cut some milliseconds earlier costs few
	// parts.
	overrunRise = time.Millisecond
	overrunFall = overrunRise / 50
	// overrunMost and overrunShare bound the allowance, the latter as a share of the
	// objective: where answers are late for another reason, the targets need the time.
	overrunMost  = 25 * time.Millisecond
	overrunShare = 0.2
)

// overrun measures how much sooner a sweep that won't be complete must be cut off, so that
// its answer leaves this host in time. Merging the parts takes a while on a host with little
// processor time, and the answer of a sweep that was passed on also has its way back.
type overrun struct {
	mu        sync.Mutex
	allowance time.Duration
}

// serve has a sweep served whose caller has spent a time before it arrived, and learns
// from the time of its answer. It returns what serve returns.
func (o *overrun) serve(route *catalog.Route, r *exchange.Request, spent time.Duration, serve func(*exchange.Request) *exchange.Answer) *exchange.Answer {
	allowance := min(o.expected(), time.Duration(overrunShare*float64(route.Objective)))
	answer := serve(reserve(r, spent+allowance))
	if answer != nil && answer.CutOff {
		due := newSchedule(route, reserve(r, spent)).onTime
		o.observe(time.Now().After(due))
	}
	return answer
}

// reserve returns the request with a part of its objective reserved.
func reserve(r *exchange.Request, part time.Duration) *exchange.Request {
	reserved := *r
	reserved.Reserved = part
	return &reserved
}

// observe records whether an answer that was cut off was too late.
func (o *overrun) observe(late bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if late {
		o.allowance = min(o.allowance+overrunRise, overrunMost)
		return
	}
	o.allowance = max(o.allowance-overrunFall, 0)
}

// expected returns the allowance to plan with.
func (o *overrun) expected() time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.allowance
}
