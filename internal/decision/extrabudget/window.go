// Package extrabudget limits the extra sub-requests of a service (hedges and
// retries) to a share of its requests in a sliding window. It takes the time as
// an argument.
package extrabudget

import "time"

// slices is the number of slices of a window that are counted separately.
const slices = 20

// Limit is the bound on one host's extra sub-requests for a service: Ratio times
// the requests of the window, plus Slack and Offset, rounded down.
type Limit struct {
	// Ratio is the allowed number of extra sub-requests per request.
	Ratio float64
	// Slack is the number of extra sub-requests allowed on top of the ratio. The
	// sum over all hosts must not exceed the slack of the service.
	Slack float64
	// Window is the length of the sliding window.
	Window time.Duration
	// Offset, in [0, 1), is added before the bound is rounded down. Hosts with few
	// requests each have a bound below 1; offsets that are distributed evenly over
	// the hosts let a matching share of them send one extra sub-request.
	Offset float64
}

// Budget counts one service's requests and extra sub-requests on one host. It is
// not safe for concurrent use.
//
// Each host limits its extra load by its own requests, so the limit holds for the
// sum over all hosts without coordination. Over all hosts the offsets compensate for
// the rounding.
type Budget struct {
	limit    Limit
	requests [slices + 1]int
	extras   [slices + 1]int
	// slice is the number of the newest slice, counted from began.
	slice int64
	began time.Time
}

// New returns an empty budget.
func New(limit Limit, now time.Time) *Budget { return &Budget{limit: limit, began: now} }

// SetLimit sets the host's bound, which depends on the number of hosts. The window must
// stay the same.
func (b *Budget) SetLimit(limit Limit) { b.limit = limit }

// AddRequest counts one request, not including its extra sub-requests.
func (b *Budget) AddRequest(now time.Time) {
	b.advance(now)
	b.requests[b.index(b.slice)]++
}

// hedgeShare is the share of the bound that hedges may use. The rest is reserved
// for retries, because a request whose first attempt failed is lost without one.
const hedgeShare = 0.85

// TakeHedge reports whether one more hedge keeps all extra sub-requests, hedges and
// retries, within the hedges' share of the bound, and counts it if so.
func (b *Budget) TakeHedge(now time.Time) bool { return b.take(now, hedgeShare) }

// TakeRetry reports whether the bound allows one more retry, and counts it if so.
func (b *Budget) TakeRetry(now time.Time) bool { return b.take(now, 1) }

func (b *Budget) take(now time.Time, share float64) bool {
	b.advance(now)
	requests, extras := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if float64(extras+1) > share*(b.limit.Ratio*float64(requests)+b.limit.Slack)+b.limit.Offset {
		return false
	}
	b.extras[b.index(b.slice)]++
	return true
}

func (b *Budget) index(slice int64) int { return int(slice % (slices + 1)) }

// advance clears the slices that are no longer in the window.
func (b *Budget) advance(now time.Time) {
	newest := int64(now.Sub(b.began) / (b.limit.Window / slices))
	if newest <= b.slice {
		return
	}
	steps := min(newest-b.slice, slices+1)
	for s := newest - steps + 1; s <= newest; s++ {
		b.requests[b.index(s)] = 0
		b.extras[b.index(s)] = 0
	}
	b.slice = newest
}
