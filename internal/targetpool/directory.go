package targetpool

import (
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/catalog"
	"github.com/swiftvane/swiftvane/internal/exchange"
	"github.com/swiftvane/swiftvane/internal/extrabudget"
)

// Options are what a Directory needs.
type Options struct {
	Codec  exchange.TargetCodec
	Dialer Dialer
	Log    logrus.FieldLogger
	// Extra is this host's bound on the extra sub-requests of each service.
	Extra extrabudget.Limit
	// Hosts is the number of hosts that share the targets' connections.
	Hosts int
}

const (
	// warm is the number of connections kept open to each target.
	warm = 1
	// restarts is how many times over the hosts' connections must fit what a
	// target takes: a target counts those of a host that lost power for a while
	// beside the new ones.
	restarts = 2
	// mostConns bounds the connections to one target whatever its share is:
	// beyond it a queue in the host serves callers better than one at the target.
	mostConns = 6
	// leastConns lets a second request start while the first is delayed.
	leastConns = 2
)

// Directory holds the pools of all targets of the current view. Update is
// called by one goroutine; Snapshot by any.
type Directory struct {
	opts    Options
	pools   map[catalog.TargetID]*Pool
	budgets map[catalog.ServiceName]*guardedBudget
	current atomic.Pointer[Snapshot]
}

// Snapshot is a view together with the pools of its targets.
type Snapshot struct {
	View   *catalog.View
	groups map[catalog.ServiceName]*Group
}

// Group returns the group of a service; it has no pools if no target serves it.
func (s *Snapshot) Group(name catalog.ServiceName) *Group { return s.groups[name] }

// NewDirectory returns an empty directory.
func NewDirectory(opts Options) *Directory {
	d := &Directory{opts: opts, pools: map[catalog.TargetID]*Pool{}, budgets: map[catalog.ServiceName]*guardedBudget{}}
	d.current.Store(&Snapshot{View: catalog.NewView(nil, 0, nil)})
	return d
}

// Snapshot returns the newest snapshot.
func (d *Directory) Snapshot() *Snapshot { return d.current.Load() }

// Update follows a new view: pools of new targets open, those of targets that
// are gone or started anew close behind their calls.
func (d *Directory) Update(v *catalog.View) {
	for id, pool := range d.pools {
		if t, ok := v.Targets[id]; !ok || !t.SameStart(pool.target) {
			delete(d.pools, id)
			pool.Close()
		}
	}
	used := map[catalog.ServiceName]bool{}
	if v.Config != nil {
		used = v.Config.InUse()
	}
	groups := map[catalog.ServiceName]*Group{}
	for name := range used {
		groups[name] = d.group(name, nil)
	}
	for name, targets := range v.ByService {
		groups[name] = d.group(name, d.poolsOf(v.Config, targets))
	}
	d.current.Store(&Snapshot{View: v, groups: groups})
}

func (d *Directory) poolsOf(config *catalog.Config, targets []*catalog.Target) []*Pool {
	pools := make([]*Pool, 0, len(targets))
	for _, t := range targets {
		pool, ok := d.pools[t.ID]
		if !ok {
			pool = NewPool(t, d.opts.Codec, d.opts.Dialer, d.opts.Log)
			d.pools[t.ID] = pool
		}
		pool.Resize(d.share(config, t), warm)
		pools = append(pools, pool)
	}
	return pools
}

// share is the number of connections to a target that this host may open, so
// that all hosts together stay within what the target takes.
func (d *Directory) share(config *catalog.Config, t *catalog.Target) int {
	if config == nil {
		return 1
	}
	limit := config.Services[t.Service].MaxConns
	return min(max(limit/max(restarts*d.opts.Hosts, 1), leastConns), mostConns)
}

func (d *Directory) group(name catalog.ServiceName, pools []*Pool) *Group {
	budget, ok := d.budgets[name]
	if !ok {
		budget = &guardedBudget{budget: extrabudget.New(d.opts.Extra, time.Now())}
		d.budgets[name] = budget
	}
	return &Group{Service: name, Pools: pools, extra: budget}
}
