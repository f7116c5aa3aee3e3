// Package dispatch runs sub-requests on targets. Local holds the connections
// and slots of the targets that this host owns or is the standby for, Remote sends
// sub-requests to other hosts, and Router chooses between the two.
//
// Local has one control goroutine, which opens and closes pools to match the view.
// Each pool has one goroutine per slot and one for cancellations and probes. A
// pool's lock is held only briefly and never during I/O or a callback.
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
	// Scope receives the counters; required.
	Scope metrics.Scope
	// Log receives one line for each change of a target's state and each pause of
	// the process; required.
	Log logrus.FieldLogger
	// Limits configure the use of each target.
	Limits Limits
	// Direct lets every host dispatch to every target, each with an equal share of
	// its connections. It is the baseline against which ownership is measured.
	Direct bool
	// OnCrash is called for each sub-request of an exchange during which the
	// target's process died. It must not block. It may be nil.
	OnCrash func(*subquery.Request)
	// OnLeaving is called when a target reports that it is leaving. It must not
	// block. It may be nil.
	OnLeaving func(model.TargetID)
}

// Local is the Dispatcher for the targets that this host may dispatch to.
type Local struct {
	opts     Options
	limits   Limits
	counters *counters
	// pools points to a map that is not modified; a change stores a new one.
	pools atomic.Pointer[map[model.TargetID]*pool]
	// poolsMu serializes changes of the pools map and guards retiring.
	poolsMu sync.Mutex
	// retiring are replaced pools that finish their sub-requests.
	retiring []*pool
	// reconciled is the view whose pools were last opened; only reconcile uses it.
	reconciled *view.View
	stopping   atomic.Bool
	stopOnce   sync.Once
	// unfinished counts the sub-requests that Stop answered before their end.
	unfinished atomic.Int64
	nextID     atomic.Uint64
	stop       chan struct{}
	goroutines sync.WaitGroup
}

// NewLocal returns a Local. Start must be called before it is used.
func NewLocal(o Options) *Local {
	l := &Local{opts: o, limits: o.Limits.withDefaults(), counters: newCounters(o.Scope), stop: make(chan struct{})}
	l.pools.Store(&map[model.TargetID]*pool{})
	return l
}

// Start opens the pools of the current view and starts the control goroutine.
func (l *Local) Start() {
	l.reconcile()
	l.goroutines.Go(l.control)
}

// Stop refuses new sub-requests, waits until the accepted ones are finished or ctx
// is done, and closes all connections. Those that are not finished are answered with
// HostStopping and a verdict that says whether they may have run. Further calls do nothing.
func (l *Local) Stop(ctx context.Context) { l.stopOnce.Do(func() { l.shutdown(ctx) }) }

func (l *Local) shutdown(ctx context.Context) {
	l.stopping.Store(true)
	l.drain(ctx)
	l.answerUnfinished(ctx)
	close(l.stop)
	l.poolsMu.Lock()
	for _, p := range *l.pools.Load() {
		p.close()
	}
	for _, p := range l.retiring {
		p.close()
	}
	l.retiring = nil
	l.poolsMu.Unlock()
	l.goroutines.Wait()
}

// drain waits until every pool is empty or ctx is done.
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

// drainPoll is the interval at which drain checks the pools.
const drainPoll = 5 * time.Millisecond

func (l *Local) empty() bool {
	return !slices.ContainsFunc(l.allPools(), func(p *pool) bool { return !p.empty() })
}

// Submit implements subquery.Dispatcher.
func (l *Local) Submit(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	if l.stopping.Load() {
		return l.refuse(done, notRunAnswer(verdict.HostStopping, 0))
	}
	if l.opts.Views.Current().IsEvacuated(req.Target) {
		return l.refuse(done, notRunAnswer(verdict.TargetEvacuated, 0))
	}
	p := (*l.pools.Load())[req.Target]
	if p == nil {
		p = l.openPool(req.Target)
	}
	if p == nil {
		return l.refuse(done, notRunAnswer(verdict.NotOwner, 0))
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

// openPool returns the pool of a target and opens it if needed. It returns nil if
// this host may not dispatch to the target or is stopping.
func (l *Local) openPool(id model.TargetID) *pool {
	l.poolsMu.Lock()
	defer l.poolsMu.Unlock()
	old := *l.pools.Load()
	if p, ok := old[id]; ok {
		return p
	}
	v := l.opts.Views.Current()
	if l.stopping.Load() || !l.mayDispatchTo(v, id) {
		return nil
	}
	p := l.newPool(v, id)
	pools := maps.Clone(old)
	pools[id] = p
	l.pools.Store(&pools)
	p.start()
	return p
}

// newPool returns a pool for the target that is not started yet.
func (l *Local) newPool(v *view.View, id model.TargetID) *pool {
	t := v.Fleet.Targets[id]
	return newPool(l, t, l.quota(v, t), v.Owners[id].Owner == v.Self.ID || l.opts.Direct)
}

// mayDispatchTo reports whether this host may dispatch to the target.
func (l *Local) mayDispatchTo(v *view.View, id model.TargetID) bool {
	if v.Fleet == nil || v.Fleet.Targets[id] == nil || v.IsEvacuated(id) {
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
		return max(1, min(t.Slots+1, t.MaxConnections/connectionDivisor))
	}
	hosts := 1
	if v.Hosts != nil {
		hosts = max(1, len(v.Hosts.Hosts))
	}
	return max(1, min(t.Slots+1, t.MaxConnections/hosts))
}
