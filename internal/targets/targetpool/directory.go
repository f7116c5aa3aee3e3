package targetpool

import (
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/decision/withdrawal"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Options configure a Directory.
type Options struct {
	Codec  exchange.TargetCodec
	Dialer Dialer
	Log    logrus.FieldLogger
	// Extra bounds the extra sub-requests of each service. Its Slack is the slack
	// of all hosts together.
	Extra extrabudget.Limit
	// OnCrash is called for each request that was in flight at a target when it
	// crashed. It must not block and may be nil.
	OnCrash func(*Crash)
	// OnLeaving is called once for each start of a target that reports in an answer
	// that it is leaving. It must not block and may be nil.
	OnLeaving func(*catalog.Target)
	// DrainWithin is how long a leaving target may be used where no other replica can
	// take a request.
	DrainWithin time.Duration
	// OnLinks is called with each change of the number of targets that this host reaches. It
	// must not block and may be nil.
	OnLinks func(LinkState)
	// Scope gets the counters; nil for none.
	Scope metrics.Scope
	// Memory bounds the replies that are read and the requests in flight at a target;
	// nil for no limit.
	Memory *bytebudget.Budget
	// Host is this host's id. The id and the failure domain determine the replicas
	// that the host connects to.
	Host          string
	FailureDomain string
	// Cold bounds the requests to cold targets.
	Cold ColdOptions
}

// Directory holds the pools of the current view's targets. A target that was
// leaving when it was first seen has none. Requests read snapshots and never wait
// for an update.
type Directory struct {
	opts Options

	mu      sync.Mutex
	view    *catalog.View
	fleet   Fleet
	started time.Time
	// running is set once the host has run for one window of the budgets.
	running bool
	closed  bool
	// used has the services that a route of the view names, shards those that are shards
	// of a sweep.
	used   map[catalog.ServiceName]bool
	shards map[catalog.ServiceName]bool
	pools  map[catalog.TargetID]*Pool
	// withdrawn has what targets without a pool have said. It outlasts the entry of a
	// target in the store, which may vanish and return.
	withdrawn map[targetStart]withdrawal.State
	// evacuations has the failure domains that are or were evacuated.
	evacuations evacuations
	budgets     map[catalog.ServiceName]*guardedBudget
	cold        *coldTargets
	limits      *limitedTargets
	links       *Links
	// stalls has a lock of its own, which may be taken while mu or a pool's is held.
	stalls  *stallLearner
	current atomic.Pointer[Snapshot]
}

// Snapshot is a view together with the pools of its targets that take new work.
type Snapshot struct {
	View   *catalog.View
	groups map[catalog.ServiceName]*Group
}

// Group returns the pools and the extra-load budget of a service's targets. The
// group has no pools if no target takes new work for the service, and is nil if no
// route names the service either.
func (s *Snapshot) Group(name catalog.ServiceName) *Group { return s.groups[name] }

// NewDirectory returns an empty directory.
func NewDirectory(opts Options) *Directory {
	d := &Directory{
		opts: opts, started: time.Now(),
		pools: map[catalog.TargetID]*Pool{}, withdrawn: map[targetStart]withdrawal.State{}, budgets: map[catalog.ServiceName]*guardedBudget{},
	}
	d.evacuations.endedAt = map[string]time.Time{}
	d.cold = newColdTargets(&opts)
	d.limits = newLimitedTargets(&opts)
	d.links = newLinks(&opts)
	d.stalls = newStallLearner(&opts)
	d.view = catalog.NewView(nil, catalog.Position{}, nil)
	d.current.Store(&Snapshot{View: d.view})
	return d
}

// Links returns whether this host reaches the targets.
func (d *Directory) Links() *Links { return d.links }

// Snapshot returns the newest snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Update switches to a new view. It opens pools for new targets and closes those
// of targets that were removed or restarted. Calls that were sent to these still
// complete, and calls that wait for a connection end with ErrClosed.
func (d *Directory) Update(v *catalog.View) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.view = v
	d.rebuild()
}

// Close closes all pools for good: their connections end after their calls, and no target is
// dialed any more.
func (d *Directory) Close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.closed = true
	for _, pool := range d.pools {
		pool.Close()
	}
}

// SetFleet sets the hosts among which the targets' connections and the slack of
// the budgets are divided. It must be called periodically even if the fleet does
// not change, because the host's slack rises once, when the host has run for one
// window of the budget.
func (d *Directory) SetFleet(f Fleet) {
	d.mu.Lock()
	defer d.mu.Unlock()
	running := time.Since(d.started) >= d.opts.Extra.Window
	if f.equal(d.fleet) && running == d.running {
		return
	}
	d.fleet, d.running = f, running
	d.stalls.setSharing(f.Gatherers > 0)
	d.rebuild()
}

// limitOf returns this host's bound on the extra sub-requests of a service. The lock is
// held.
func (d *Directory) limitOf(name catalog.ServiceName) extrabudget.Limit {
	age := time.Duration(0)
	if d.running {
		age = d.opts.Extra.Window
	}
	if d.fleet.Gatherers == 0 || !d.shards[name] {
		return hostLimit(d.opts.Extra, d.opts.Host, name, d.fleet.Sharers(), age)
	}
	if d.fleet.Gathers {
		return hostLimit(partOf(d.opts.Extra, gatheredPart), d.opts.Host, name, d.fleet.Gatherers, age)
	}
	return hostLimit(partOf(d.opts.Extra, directPart), d.opts.Host, name, d.fleet.Sharers(), age)
}

// rebuild closes the pools of removed and restarted targets and publishes a
// snapshot of the view. The lock is held.
func (d *Directory) rebuild() {
	if d.closed {
		return
	}
	v := d.view
	d.noteReplaced()
	for id, pool := range d.pools {
		if t, ok := v.Targets[id]; !ok || !t.SameStart(pool.target) || t.FailureDomain != pool.target.FailureDomain {
			delete(d.pools, id)
			d.keepWithdrawal(pool)
			d.cold.keep(pool, time.Now())
			d.stalls.forget(id)
			pool.Close()
			pool.settleLost(ok && !t.SameStart(pool.target))
		}
	}
	d.settleEvacuations(time.Now())
	d.used, d.shards = nil, nil
	if v.Config != nil {
		d.used, d.shards = v.Config.InUse(), v.Config.Shards()
	}
	d.cold.notePermits(v.Config)
	d.stalls.setConfig(v.Config)
	for name, b := range d.budgets {
		b.setLimit(d.limitOf(name))
	}
	d.limits.forgetServices(d.servicesWithPools())
	groups := map[catalog.ServiceName]*Group{}
	for name := range d.used {
		groups[name] = d.group(name)
	}
	for name, targets := range v.ByService {
		groups[name] = d.group(name)
		d.fill(groups[name], targets)
	}
	d.addEvacuated(groups)
	d.current.Store(&Snapshot{View: v, groups: groups})
}

// fill adds the pools of a service's targets to its group: those of the host's own
// share to Pools and the others to Spare. It opens missing pools. The lock is held.
func (d *Directory) fill(g *Group, targets []*catalog.Target) {
	maxConns := d.maxConns(g.Service)
	own := d.shareOf(g.Service, maxConns, len(targets))
	if own.targets < len(targets) {
		targets = rank(d.opts.Host, targets)
		if d.fleet.sameDomainFits(d.opts.FailureDomain, targets, maxConns) {
			targets = sameDomainFirst(d.opts.FailureDomain, targets)
		}
	}
	bound, now := d.boundOf(g.Service), time.Now()
	for i, t := range targets {
		pool, ok := d.pools[t.ID]
		if !ok {
			pool = d.open(t, g.demand)
		}
		pool.setBound(bound, t, !ok, now)
		if !ok && !pool.resumedAt.IsZero() {
			pool.resumed(pool.resumedAt, bound.warmup)
		}
		if i < own.targets {
			pool.Resize(own.conns, warmPerTarget)
			g.Pools = append(g.Pools, pool)
			continue
		}
		// A spare target gets at most one connection, on demand and not kept warm.
		pool.Resize(1, 0)
		g.Spare = append(g.Spare, pool)
	}
}

// open returns a new pool for a target of a service with the given demand. The lock is held.
func (d *Directory) open(t *catalog.Target, demand *serviceDemand) *Pool {
	pool := NewPool(t, &d.opts)
	pool.withdrawal = d.withdrawn[startOf(t)]
	pool.cold.shared = d.cold
	pool.rateLimit.shared, pool.rateLimit.demand = d.limits, demand
	pool.links.links = d.links
	pool.stalls.learner = d.stalls
	d.cold.restore(pool)
	d.limits.restore(pool, time.Now())
	if spread := warmSpread(d.fleet.Hosts); spread > 0 {
		pool.delayWarm(rand.N(spread))
	}
	d.returnGradually(pool, time.Now())
	d.pools[t.ID] = pool
	return pool
}

// shareOf returns this host's share of the connections to the targets of a service.
// Where a few hosts gather sweeps for all, only these keep connections to shards and to
// services that no route names: the next or the last shards of an index that is cut anew,
// each of whose targets would else get a connection from every host. The lock is held.
func (d *Directory) shareOf(name catalog.ServiceName, maxConns, targets int) share {
	gathered := d.shards[name] || d.view.Config != nil && !d.used[name]
	switch {
	case d.fleet.Gatherers == 0 || !gathered:
		return shareOf(maxConns, targets, d.fleet.Hosts)
	case d.fleet.Gathers:
		return shareOf(maxConns, targets, d.fleet.Gatherers)
	default:
		return share{}
	}
}

// maxConns returns the connection limit of each target of a service. It is 1 while
// no configuration is known, and 0 if the configuration does not list the service.
func (d *Directory) maxConns(name catalog.ServiceName) int {
	if d.view.Config == nil {
		return 1
	}
	return d.view.Config.Services[name].MaxConns
}

func (d *Directory) group(name catalog.ServiceName) *Group {
	budget, ok := d.budgets[name]
	if !ok {
		budget = &guardedBudget{budget: extrabudget.New(d.limitOf(name), time.Now())}
		d.budgets[name] = budget
	}
	return &Group{Service: name, extra: budget, demand: d.limits.demandOf(name, d.sharersOf(name), time.Now())}
}
