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
	// Remote sends sub-requests to other hosts; nil for a fleet of one host.
	Remote *Remote
	// Scope receives the counters; required.
	Scope metrics.Scope
}

// Router is the Dispatcher that sends each sub-request to the owner of its target
// and, if the owner did not run it, to the standby.
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
		done(notRunAnswer(verdict.OwnerUnreachable, 0))
		return func() {}
	}
	if second == "" {
		return r.submitTo(v, first, req, done)
	}
	t := &routedRequest{r: r, v: v, req: req, done: done, standby: second}
	t.setCancel(r.submitTo(v, first, req, t.ownerDone))
	return t.cancel
}

// submitTo runs the sub-request on this host or sends it to another one.
func (r *Router) submitTo(v *view.View, host model.HostID, req *subquery.Request, done func(*subquery.Answer)) func() {
	if host == v.Self.ID {
		return r.local.Submit(req, done)
	}
	if r.remote == nil {
		done(notRunAnswer(verdict.OwnerUnreachable, 0))
		return func() {}
	}
	return r.remote.SubmitTo(host, req, done)
}

// routedRequest is a sub-request that is sent to the owner and, if that did not
// run it, to the standby.
type routedRequest struct {
	r       *Router
	v       *view.View
	req     *subquery.Request
	done    func(*subquery.Answer)
	standby model.HostID

	mu        sync.Mutex
	cancelled bool
	// onStandby is set once the sub-request is sent to the standby.
	onStandby bool
	// cancelCurrent cancels the current attempt, nil before it is set.
	cancelCurrent func()
}

// ownerDone passes on the owner's answer or sends the sub-request to the standby.
func (t *routedRequest) ownerDone(a *subquery.Answer) {
	if !mayReroute(a) || !time.Now().Before(t.req.Deadline) {
		t.done(a)
		return
	}
	t.mu.Lock()
	if t.cancelled {
		t.mu.Unlock()
		t.done(a)
		return
	}
	t.onStandby = true
	t.mu.Unlock()
	t.r.counters.Counter("dispatch_rerouted", a.Reason).Inc(1)
	cancel := t.r.submitTo(t.v, t.standby, t.req, t.done)
	t.mu.Lock()
	t.cancelCurrent = cancel
	cancelled := t.cancelled
	t.mu.Unlock()
	if cancelled {
		cancel()
	}
}

// setCancel stores the cancel function of the owner's attempt unless the
// sub-request is already sent to the standby.
func (t *routedRequest) setCancel(cancel func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.onStandby {
		t.cancelCurrent = cancel
	}
}

// cancel cancels the current attempt and prevents another one.
func (t *routedRequest) cancel() {
	t.mu.Lock()
	t.cancelled = true
	cancel := t.cancelCurrent
	t.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

// mayReroute reports whether the owner did not run the sub-request for a reason
// that may not apply to the standby.
func mayReroute(a *subquery.Answer) bool {
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
