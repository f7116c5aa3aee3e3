package daemon

import (
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

const (
	// notReadyRetryAfter is about the time that a starting host needs.
	notReadyRetryAfter = time.Second
	// linkWait bounds the wait for links to the hosts of the list: one that is
	// down must not keep the others from serving.
	linkWait = 4 * time.Second
)

// readiness says why this host may not serve yet. A host is ready once it knows
// a configuration and a host list and has reached each host of that list once:
// before, it would fail queries whose targets other hosts own.
type readiness struct {
	fleetReady func() bool
	view       view.Source
	reach      func(model.HostID) bool
	// linked is set for good once the links were up or linkWait had passed.
	linked atomic.Bool
	// since is when the fleet became ready, in Unix nanoseconds; 0 before.
	since atomic.Int64
}

// refusal returns nil once this host may serve.
func (r *readiness) refusal() *verdict.Error {
	if !r.fleetReady() {
		return verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "no configuration or host list is in force yet")
	}
	if !r.reached(time.Now()) {
		return verdict.Refuse(verdict.HostNotReady, notReadyRetryAfter, "not all hosts of the list were reached yet")
	}
	return nil
}

func (r *readiness) reached(now time.Time) bool {
	if r.linked.Load() {
		return true
	}
	r.since.CompareAndSwap(0, now.UnixNano())
	all := true
	v := r.view.Current()
	for i := range v.Hosts.Hosts {
		host := &v.Hosts.Hosts[i]
		if host.ID != v.Self.ID && host.State == model.Live && !r.reach(host.ID) {
			all = false
		}
	}
	if all || now.Sub(time.Unix(0, r.since.Load())) > linkWait {
		r.linked.Store(true)
	}
	return r.linked.Load()
}
