package dispatch

import (
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// RouterOptions configure a Router.
type RouterOptions struct {
	// Views gives the fleet's current view; required.
	Views view.Source
	// Local runs sub-requests on this host; required.
	Local subquery.Dispatcher
	// Remote reaches other hosts; nil for a fleet of one host.
	Remote *Remote
	// Scope gets the counters; required.
	Scope metrics.Scope
}

// Router is the Dispatcher that sends each sub-request to the host that owns
// its target and, if that host did not run it, to the one that stands by.
type Router struct {
	views    view.Source
	local    subquery.Dispatcher
	remote   *Remote
	counters *metrics.ReasonCounters
}

// NewRouter returns a Router.
func NewRouter(o RouterOptions) *Router {
	return &Router{views: o.Views, local: o.Local, remote: o.Remote, counters: metrics.NewReasonCounters(o.Scope)}
}

// Submit implements subquery.Dispatcher.
func (r *Router) Submit(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	v := r.views.Current()
	o := v.Owners[req.Target]
	first, second := o.Owner, o.Standby
	if first == "" {
		first, second = second, ""
	}
	if first == "" {
		done(refusal(verdict.OwnerUnreachable, 0))
		return func() {}
	}
	if second == "" {
		return r.submitTo(v, first, req, done)
	}
	t := &trip{r: r, v: v, req: req, done: done, second: second}
	t.setCancel(r.submitTo(v, first, req, t.firstDone))
	return t.cancel
}

func (r *Router) submitTo(v *view.View, host model.HostID, req *subquery.Request, done func(*subquery.Answer)) func() {
	if host == v.Self.ID {
		return r.local.Submit(req, done)
	}
	if r.remote == nil {
		done(refusal(verdict.OwnerUnreachable, 0))
		return func() {}
	}
	return r.remote.SubmitTo(host, req, done)
}

// trip is one sub-request on its way to the owner and then to the standby.
type trip struct {
	r      *Router
	v      *view.View
	req    *subquery.Request
	done   func(*subquery.Answer)
	second model.HostID

	mu        sync.Mutex
	cancelled bool
	moved     bool
	cancelNow func()
}

// firstDone takes the owner's answer, or moves on to the standby.
func (t *trip) firstDone(a *subquery.Answer) {
	if !rerouted(a) || !time.Now().Before(t.req.Deadline) {
		t.done(a)
		return
	}
	t.mu.Lock()
	if t.cancelled {
		t.mu.Unlock()
		t.done(a)
		return
	}
	t.moved = true
	t.mu.Unlock()
	t.r.counters.Counter("dispatch_rerouted", a.Reason).Inc(1)
	cancel := t.r.submitTo(t.v, t.second, t.req, t.done)
	t.mu.Lock()
	t.cancelNow = cancel
	cancelled := t.cancelled
	t.mu.Unlock()
	if cancelled {
		cancel()
	}
}

// setCancel keeps the cancel function of the owner's attempt unless the trip
// has moved on already.
func (t *trip) setCancel(cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.moved {
		t.cancelNow = cancel
	}
}

func (t *trip) cancel() {
	t.mu.Lock()
	t.cancelled = true
	cancel := t.cancelNow
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// rerouted reports whether the owner did not run the sub-request for a reason
// that the standby may not share.
func rerouted(a *subquery.Answer) bool {
	if a.Verdict != verdict.NotRun {
		return false
	}
	switch a.Reason {
	case verdict.NotOwner, verdict.OwnerUnreachable, verdict.PeerLinkLost, verdict.HostStopping, verdict.HostNotReady:
		return true
	default:
		return false
	}
}
