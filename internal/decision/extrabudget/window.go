// Package extrabudget bounds the sub-requests of a service beyond the first of
// each request, in every sliding window. It gets the time from its callers.
package extrabudget

import "time"

// slices is the number of parts of a window that are counted apart.
const slices = 20

// Limit is the bound of one host.
type Limit struct {
	// Ratio is the share of the requests.
	Ratio float64
	// Slack is added to it; the slack of all hosts together must not pass that
	// of the service.
	Slack  float64
	Window time.Duration
	// Offset is added before the bound is rounded down, from 0 to less than 1.
	// Hosts with few requests have a bound below 1 each; offsets that are spread
	// evenly over the hosts let the right part of them have one.
	Offset float64
}

// Budget counts one service's requests and extra sub-requests on one host. Its
// owner guards it. Since each host bounds its extra load by its own requests,
// the sum over all hosts holds whatever they know of each other; their offsets
// cancel out against the rounding.
type Budget struct {
	limit    Limit
	requests [slices + 1]int
	extras   [slices + 1]int
	// slice numbers the newest part since began.
	slice int64
	began time.Time
}

// New returns an empty budget.
func New(limit Limit, now time.Time) *Budget { return &Budget{limit: limit, began: now} }

// SetShare changes the host's part of the slack and its offset, as hosts come
// and go.
func (b *Budget) SetShare(slack, offset float64) {
	b.limit.Slack = slack
	b.limit.Offset = offset
}

// Request counts one request.
func (b *Budget) Request(now time.Time) {
	b.advance(now)
	b.requests[b.index(b.slice)]++
}

// hedgePart of the bound may be used by hedges; the rest is kept for requests
// whose first attempt has failed, which are lost without a second one.
const hedgePart = 0.85

// TakeHedge counts one extra sub-request beside one that is late and reports
// whether the hedges' part of the bound allows it.
func (b *Budget) TakeHedge(now time.Time) bool { return b.take(now, hedgePart) }

// TakeRetry counts one extra sub-request after one that failed and reports
// whether the bound allows it.
func (b *Budget) TakeRetry(now time.Time) bool { return b.take(now, 1) }

func (b *Budget) take(now time.Time, part float64) bool {
	b.advance(now)
	requests, extras := 0, 0
	for i := range b.requests {
		requests += b.requests[i]
		extras += b.extras[i]
	}
	if float64(extras+1) > part*(b.limit.Ratio*float64(requests)+b.limit.Slack)+b.limit.Offset {
		return false
	}
	b.extras[b.index(b.slice)]++
	return true
}

func (b *Budget) index(slice int64) int { return int(slice % (slices + 1)) }

// advance clears the parts that the window has left.
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
