// Package dispatch runs sub-requests on targets. Local holds the connections
// and slots of the targets that this host owns, Remote hands sub-requests to
// the host that owns the target, and Router chooses between the two.
//
// Local has one control goroutine, which opens and closes pools after the view,
// and for each pool one goroutine a slot and one that cancels and probes. A
// pool's lock is held for moments only and never over I/O or a callback.
package dispatch

import (
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// Options configure a Local.
type Options struct {
	// Views gives the fleet's current view; required.
	Views view.Source
	// Dialer opens connections; required.
	Dialer target.Dialer
	// Scope gets the counters; required.
	Scope metrics.Scope
	// Log gets one line for each change of a target's state; required.
	Log logrus.FieldLogger
	// Limits bound what is done for each target.
	Limits Limits
	// Direct serves every target from every host, each with an equal share of
	// the connections. It exists to measure ownership against.
	Direct bool
	// OnCrash is called for each sub-request that ran on a target when the
	// target's process died. It must not block. It may be nil.
	OnCrash func(*subquery.Request)
	// OnLeaving is called when a target says that it is leaving. It must not
	// block. It may be nil.
	OnLeaving func(model.TargetID)
}

// Local is the Dispatcher for the targets that this host may dispatch to.
type Local struct {
	opts     Options
	limits   Limits
	counters *counters
	pools    atomic.Pointer[map[model.TargetID]*pool]
	// change serializes changes of the pools map and guards retiring.
	change sync.Mutex
	// retiring are replaced pools that finish what they have.
	retiring []*pool
	// reconciled is the view whose pools are open; it belongs to the control
	// goroutine.
	reconciled *view.View
	stopping   atomic.Bool
	stopOnce   sync.Once
	nextID     atomic.Uint64
	stop       chan struct{}
	running    sync.WaitGroup
}

// NewLocal returns a Local. Start must be called before it is used.
func NewLocal(o Options) *Local {
	l := &Local{opts: o, limits: o.Limits.withDefaults(), counters: newCounters(o.Scope), stop: make(chan struct{})}
	l.pools.Store(&map[model.TargetID]*pool{})
	return l
}

// Start begins to follow the view.
func (l *Local) Start() {
	l.reconcile()
	l.running.Go(l.control)
}

// Stop takes no new work, waits until what was taken is done or ctx ends, and
// closes every connection. Further calls do nothing.
func (l *Local) Stop(ctx context.Context) { l.stopOnce.Do(func() { l.stopNow(ctx) }) }

func (l *Local) stopNow(ctx context.Context) {
	l.stopping.Store(true)
	l.drain(ctx)
	close(l.stop)
	l.change.Lock()
	for _, p := range *l.pools.Load() {
		p.close()
	}
	for _, p := range l.retiring {
		p.close()
	}
	l.retiring = nil
	l.change.Unlock()
	l.running.Wait()
}

// drain waits until every pool is empty or ctx ends.
func (l *Local) drain(ctx context.Context) {
	tick := time.NewTicker(drainPoll)
	defer tick.Stop()
	for !l.empty() {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
	}
}

const drainPoll = 5 * time.Millisecond

func (l *Local) empty() bool {
	l.change.Lock()
	defer l.change.Unlock()
	for _, p := range *l.pools.Load() {
		if !p.empty() {
			return false
		}
	}
	return !slices.ContainsFunc(l.retiring, func(p *pool) bool { return !p.empty() })
}

// Submit implements subquery.Dispatcher.
func (l *Local) Submit(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	if l.stopping.Load() {
		return l.refuse(done, refusal(verdict.HostStopping, 0))
	}
	p := (*l.pools.Load())[req.Target]
	if p == nil {
		p = l.open(req.Target)
	}
	if p == nil {
		return l.refuse(done, refusal(verdict.NotOwner, 0))
	}
	it := &item{id: l.nextID.Add(1), req: req, done: done, queuedAt: time.Now()}
	if refused := p.submit(it); refused != nil {
		return l.refuse(done, refused)
	}
	return func() { p.cancel(it) }
}

func (l *Local) refuse(done func(*subquery.Answer), a *subquery.Answer) func() {
	l.counters.refused(a.Reason)
	done(a)
	return func() {}
}

// open returns the pool of a target that this host may dispatch to, nil if it
// may not.
func (l *Local) open(id model.TargetID) *pool {
	l.change.Lock()
	defer l.change.Unlock()
	old := *l.pools.Load()
	if p, ok := old[id]; ok {
		return p
	}
	v := l.opts.Views.Current()
	if l.stopping.Load() || !l.serves(v, id) {
		return nil
	}
	p := l.newPool(v, id)
	pools := maps.Clone(old)
	pools[id] = p
	l.pools.Store(&pools)
	p.start()
	return p
}

// newPool returns a pool for the target, not yet started.
func (l *Local) newPool(v *view.View, id model.TargetID) *pool {
	t := v.Fleet.Targets[id]
	return newPool(l, t, l.quota(v, t), v.Owners[id].Owner == v.Self.ID || l.opts.Direct)
}

// serves reports whether this host may dispatch to the target.
func (l *Local) serves(v *view.View, id model.TargetID) bool {
	if v.Fleet == nil || v.Fleet.Targets[id] == nil {
		return false
	}
	if l.opts.Direct {
		return true
	}
	o, ok := v.Owners[id]
	return ok && (o.Owner == v.Self.ID || o.Standby == v.Self.ID)
}

// quota returns how many connections this host may open to the target.
func (l *Local) quota(v *view.View, t *model.Target) int {
	if !l.opts.Direct {
		return max(1, min(t.Slots+1, t.MaxConnections/connectionShare))
	}
	hosts := 1
	if v.Hosts != nil {
		hosts = max(1, len(v.Hosts.Hosts))
	}
	return max(1, min(t.Slots+1, t.MaxConnections/hosts))
}
