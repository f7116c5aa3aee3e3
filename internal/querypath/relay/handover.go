package relay

import (
	"net/http"
	"time"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// Helpers passes requests on to hosts that reach more targets than this one.
type Helpers interface {
	// Ready reports whether a host takes requests of one with the given share of lost targets.
	// It may wait for a moment.
	Ready(lostShare float64, callerGone <-chan struct{}) bool
	// HandOver returns the answer of another host, or nil if none took the request.
	HandOver(r *exchange.Request, route *catalog.Route, h exchange.Handover, callerGone <-chan struct{}) *exchange.Answer
}

// handover is the way of one request to another host.
type handover struct {
	executor   *Executor
	snapshot   *targetpool.Snapshot
	route      *catalog.Route
	request    *exchange.Request
	callerGone <-chan struct{}
}

// serve has another host serve the request if this one reaches too few targets for it, and
// otherwise calls own. Where that ends without an answer since no target is reached, another
// host is asked after all.
func (h *handover) serve(own func() *exchange.Answer) *exchange.Answer {
	if h.executor.opts.Helpers == nil {
		return own()
	}
	if h.needed(time.Now()) {
		if answer := h.pass(false); answer != nil {
			return answer
		}
	}
	answer := own()
	if !h.unserved(answer) {
		return answer
	}
	if passed := h.pass(answer.Status != http.StatusServiceUnavailable); passed != nil {
		return passed
	}
	return answer
}

// needed reports whether the request should not be tried here: the host is cut off from the
// targets, or can't reach any target of one of the services that the request needs.
func (h *handover) needed(now time.Time) bool {
	state := h.executor.opts.Links.State()
	if state.Cut {
		return true
	}
	return reach.Doubtful(state.Share()) && !h.covered(now)
}

// covered reports whether each service that the request may need has a target that can be
// used.
func (h *handover) covered(now time.Time) bool {
	return lo.EveryBy(servicesOf(h.route), func(service catalog.ServiceName) bool { return h.usable(service, now) })
}

func (h *handover) usable(service catalog.ServiceName, now time.Time) bool {
	group := h.snapshot.Group(service)
	return group != nil && h.executor.choose(h.route, group, nil, h.route.Objective, now).pool != nil
}

// unserved reports whether an answer of this host says that it reached no target.
func (h *handover) unserved(answer *exchange.Answer) bool {
	state := h.executor.opts.Links.State()
	if !reach.Doubtful(state.Share()) {
		return false
	}
	switch answer.Reason {
	case exchange.LinksLost:
		return true
	case exchange.NoTarget, exchange.LowCoverage, exchange.NoRoom:
		return answer.Status == http.StatusServiceUnavailable && answer.RetryAfter <= retryNoRoom
	default:
		return false
	}
}

// pass returns another host's answer, or nil. mayHaveRun is set if this host has sent the
// request to a target.
func (h *handover) pass(mayHaveRun bool) *exchange.Answer {
	again := func() bool {
		return !h.executor.opts.Guard.Suspects(h.request) && attemptsCoverTargets(h.snapshot, h.route) && h.takeExtra(time.Now())
	}
	share := h.executor.opts.Links.State().Share()
	return h.executor.opts.Helpers.HandOver(h.request, h.route, exchange.Handover{
		LostShare: share, ConfigVersion: h.snapshot.View.Config.Version, MayHaveRun: mayHaveRun, Again: again,
	}, h.callerGone)
}

// takeExtra reports whether the bound on extra load allows the request once more at each
// service that it needs, and counts it.
func (h *handover) takeExtra(now time.Time) bool {
	for _, service := range servicesOf(h.route) {
		if g := h.snapshot.Group(service); g == nil || !g.TakeRetry(now) {
			return false
		}
	}
	return true
}

// linksLost returns a channel that is closed if the host is cut off from the targets while it
// serves the request; nil if the request must not be sent again, on any target of its
// services, or can't be passed on.
func (r *run) linksLost() <-chan struct{} {
	if r.executor.opts.Helpers == nil || r.alone || !r.route.Idempotent || !attemptsCoverTargets(r.snapshot, r.route) {
		return nil
	}
	state := r.executor.opts.Links.State()
	if state.Cut {
		return nil
	}
	return state.Changed
}

// canHandOver reports whether another host can serve the request now. Without one, the attempts
// under way are all that the caller has.
func (r *run) canHandOver() bool {
	return r.executor.opts.Helpers.Ready(r.executor.opts.Links.State().Share(), r.callerGone)
}

// checkSilence looks for lost links: a reply is late.
func (r *run) checkSilence(now time.Time) {
	if check := r.executor.opts.CheckSilence; check != nil {
		check(now)
	}
}

// withoutLinks returns the answer of a request whose links were lost after it was sent.
func withoutLinks() *exchange.Answer {
	return &exchange.Answer{Status: http.StatusBadGateway, Reason: exchange.LinksLost}
}
