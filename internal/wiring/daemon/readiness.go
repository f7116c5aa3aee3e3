package daemon

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

const (
	// notReadyRetryAfter is the delay after which a refused caller should retry,
	// about the time that a host needs to start.
	notReadyRetryAfter = time.Second
	// linkWait bounds the wait for links to the other hosts, so that one host that
	// is down does not prevent the others from serving.
	linkWait = 4 * time.Second
)

// readiness determines whether this host may serve queries. A host is ready once
// it has a configuration and a host list and has had links to all live hosts of
// that list, or linkWait has passed: without links it would fail queries whose
// targets other hosts own.
type readiness struct {
	fleetReady func() bool
	view       view.Source
	ensureLink func(model.HostID) bool
	// linked is set once all links were up or linkWait had passed, and stays set.
	linked atomic.Bool
	// linkWaitStart is when the wait for links began, in Unix nanoseconds; 0 before.
	linkWaitStart atomic.Int64
}

// refusal returns the error with which queries are refused, or nil once this
// host may serve them.
func (r *readiness) refusal() *verdict.Error {
	if !r.fleetReady() {
		return verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "no configuration or host list is in force yet")
	}
	if !r.reached(time.Now()) {
		return verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "not all hosts of the list were reached yet")
	}
	return nil
}

// reached reports whether all other live hosts have been reached or linkWait has
// passed since the first call.
func (r *readiness) reached(now time.Time) bool {
	if r.linked.Load() {
		return true
	}
	r.linkWaitStart.CompareAndSwap(0, now.UnixNano())
	all := true
	v := r.view.Current()
	for i := range v.Hosts.Hosts {
		host := &v.Hosts.Hosts[i]
		if host.ID != v.Self.ID && host.State == model.Live && !r.ensureLink(host.ID) {
			all = false
		}
	}
	if all || now.Sub(time.Unix(0, r.linkWaitStart.Load())) > linkWait {
		r.linked.Store(true)
	}
	return r.linked.Load()
}
