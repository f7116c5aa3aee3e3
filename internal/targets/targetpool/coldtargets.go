package targetpool

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/logging"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// coldLinesPerSecond bounds the log lines about cold targets: in a release many become cold.
const coldLinesPerSecond = 5

// ColdOptions configure the bound on requests to cold targets.
type ColdOptions struct {
	// Over and Slack bound the requests in any one second that a cold target gets from all
	// hosts: Over times the rate that it sustains, plus Slack. Over 0 counts as 1.
	Over  float64
	Slack float64
	// Addr is this host's address in lists of stewards.
	Addr string
	// Stewards returns the list of stewards that this host may use at a time, nil for none. It
	// must not block, and the list must not change. A nil function counts as none, so that cold targets get nothing.
	Stewards func(now time.Time) *warmup.List
}

// coldTargets has the cold targets of a directory. Its lock is taken while a pool's lock is
// held, never the other way round.
type coldTargets struct {
	opts   ColdOptions
	scope  metrics.Scope
	log    logrus.FieldLogger
	budget *logging.Budget
	held   tally.Counter
	// permitRange has the least and the greatest number of permits of a service.
	permitRange atomic.Pointer[permitRange]

	mu    sync.Mutex
	pools map[*Pool]bool
	kept  map[catalog.TargetID]keptCold
	// reported is set if the gauges may differ from zero.
	reported bool
}

func newColdTargets(opts *Options) *coldTargets {
	scope := scopeOf(opts)
	c := &coldTargets{
		opts: opts.Cold, scope: scope, log: opts.Log, budget: logging.NewBudget(coldLinesPerSecond),
		held: scope.Counter("calls_held_for_cold"), pools: map[*Pool]bool{}, kept: map[catalog.TargetID]keptCold{},
	}
	c.permitRange.Store(&permitRange{})
	return c
}

// share returns how many requests in any one second this host may send to the pool's target.
// The pool's lock is held.
func (c *coldTargets) share(p *Pool, now time.Time) int {
	if c.opts.Stewards == nil {
		return 0
	}
	list := c.opts.Stewards(now)
	if list == nil {
		return 0
	}
	if list != p.cold.list {
		bound := p.cold.bound
		p.cold.share, p.cold.list = list.Share(c.opts.Addr, string(p.target.ID), bound.shard, bound.permits), list
	}
	return p.cold.share
}

// begun records that a target has become cold. The pool's lock is held.
func (c *coldTargets) begun(p *Pool, until time.Time, cause coldCause, now time.Time) {
	c.mu.Lock()
	c.pools[p] = true
	c.mu.Unlock()
	if ok, omitted := c.budget.Take("cold", now); ok {
		p.log.WithFields(logrus.Fields{
			"cause": cause, "cold_ms": until.Sub(now).Milliseconds(), "permits": p.cold.bound.permits, "lines_left_out": omitted,
		}).Info("target is cold")
	}
}

// heldBack counts calls that were not sent since this host had no permit.
func (c *coldTargets) heldBack(calls int) { c.held.Inc(int64(calls)) }

// boundOf returns the bound on the requests to cold targets of a service. The lock is held.
func (d *Directory) boundOf(name catalog.ServiceName) coldBound {
	if d.view.Config == nil {
		return coldBound{}
	}
	service := d.view.Config.Services[name]
	if service.WarmupPerSecond <= 0 {
		return coldBound{}
	}
	return coldBound{bounded: true, permits: d.cold.permits(service), warmup: service.Warmup, shard: d.shards[name]}
}

// permits returns the permits for each target of a service.
func (c *coldTargets) permits(service catalog.Service) int {
	over := c.opts.Over
	if over <= 0 {
		over = 1
	}
	return warmup.Permits(service.WarmupPerSecond, over, c.opts.Slack)
}

// permitRange is a range of numbers of permits; both are 0 if there are none.
type permitRange struct{ least, most int }

// notePermits records the permits of the services of a configuration.
func (c *coldTargets) notePermits(config *catalog.Config) {
	r := permitRange{}
	if config != nil {
		for _, service := range config.Services {
			if service.WarmupPerSecond > 0 {
				r.add(c.permits(service))
			}
		}
	}
	c.permitRange.Store(&r)
}

// add extends the range to include a number of permits, unless it is 0.
func (r *permitRange) add(permits int) {
	if permits <= 0 {
		return
	}
	r.most = max(r.most, permits)
	if r.least == 0 || permits < r.least {
		r.least = permits
	}
}

// ColdPermits returns the least and the greatest number of permits that a cold target of any
// service has for the hosts with lists of one reader; 0 if no service bounds the requests to its
// cold targets, or none has a permit.
func (d *Directory) ColdPermits() (least, most int) {
	r := d.cold.permitRange.Load()
	return r.least, r.most
}

// UpdateCold sets the gauges of cold targets and logs those that have become warm. It must be
// called periodically; its work grows with the number of cold targets only.
func (d *Directory) UpdateCold(now time.Time) {
	c := d.cold
	c.mu.Lock()
	pools := make([]*Pool, 0, len(c.pools))
	for p := range c.pools {
		pools = append(pools, p)
	}
	report := c.reported || len(pools) > 0
	c.reported = len(pools) > 0
	c.mu.Unlock()
	if !report {
		return
	}
	cold, permits := 0, 0
	for _, p := range pools {
		if !c.stillCold(p, now) {
			continue
		}
		cold++
		p.mu.Lock()
		permits += c.share(p, now)
		p.mu.Unlock()
	}
	c.scope.Gauge("cold_targets").Update(float64(cold))
	c.scope.Gauge("cold_permits").Update(float64(permits))
}

// stillCold reports whether a target is cold. If it is not, it is dropped from those that are.
func (c *coldTargets) stillCold(p *Pool, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isCold(now) && !p.closed {
		return true
	}
	c.mu.Lock()
	delete(c.pools, p)
	c.mu.Unlock()
	if ok, omitted := c.budget.Take("warm", now); ok && !p.closed {
		p.log.WithField("lines_left_out", omitted).Info("target is warm")
	}
	return false
}
