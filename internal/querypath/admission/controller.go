// Package admission decides without waiting whether a caller's query is admitted.
//
// Each caller has a token bucket and a limit on its queries in flight, so that a
// flood of queries affects only the caller that sends it. The package starts no
// goroutines and never blocks on a query.
package admission

import (
	"hash/maphash"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Options configure a Controller.
type Options struct {
	// MaxInflight is the limit on this host's queries in flight; zero means the
	// default.
	MaxInflight int
	// MaxCallers is the maximum number of tracked callers; zero means the default.
	MaxCallers int
	// Scope receives the counters; required.
	Scope metrics.Scope
}

const (
	defaultMaxInflight = 1024
	defaultMaxCallers  = 16384
	// shardCount is the number of separately locked shards of the caller states.
	shardCount = 16
)

// Controller admits queries. It is safe for concurrent use.
type Controller struct {
	scope  metrics.Scope
	seed   maphash.Seed
	shards [shardCount]*shard
	fair   *fairShare
}

// New returns a Controller.
func New(o Options) *Controller {
	if o.MaxInflight <= 0 {
		o.MaxInflight = defaultMaxInflight
	}
	if o.MaxCallers <= 0 {
		o.MaxCallers = defaultMaxCallers
	}
	c := &Controller{scope: o.Scope, seed: maphash.MakeSeed(), fair: newFairShare(o.MaxInflight)}
	for i := range c.shards {
		c.shards[i] = newShard(max(1, o.MaxCallers/shardCount))
	}
	return c
}

// Admit admits a query of the caller under the policy or refuses it. On success
// release must be called once, when the query ends.
func (c *Controller) Admit(caller model.CallerID, p *config.Policy) (release func(), refused *verdict.Error) {
	return c.admitAt(caller, p, time.Now())
}

func (c *Controller) admitAt(caller model.CallerID, p *config.Policy, now time.Time) (func(), *verdict.Error) {
	sh := c.shards[maphash.String(c.seed, string(caller))%shardCount]
	state, err := sh.admit(caller, p, now, c.fair)
	if err != nil {
		metrics.IncReason(c.scope, "admission_refused", err.Reason)
		return nil, err
	}
	return func() { sh.release(state, c.fair) }, nil
}
