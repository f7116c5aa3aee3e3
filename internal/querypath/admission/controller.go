// Package admission decides at once whether a caller's query is taken on.
//
// Each caller has a token bucket and a bound on its queries in flight, so that
// a caller that floods takes from itself only. The package starts no goroutine
// and never waits.
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
	// MaxInflight bounds this host's queries in flight; zero means the default.
	MaxInflight int
	// MaxCallers bounds the callers remembered; zero means the default.
	MaxCallers int
	// Scope gets the counters; required.
	Scope metrics.Scope
}

const (
	defaultMaxInflight = 1024
	defaultMaxCallers  = 16384
	// shardCount spreads the callers over locks.
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

// Admit takes on a query of the caller under the policy. On success release
// must be called once, when the query is over.
func (c *Controller) Admit(caller model.CallerID, p *config.Policy) (release func(), refused *verdict.Error) {
	return c.admitAt(caller, p, time.Now())
}

func (c *Controller) admitAt(caller model.CallerID, p *config.Policy, now time.Time) (func(), *verdict.Error) {
	sh := c.shards[maphash.String(c.seed, string(caller))%shardCount]
	state, err := sh.take(caller, p, now, c.fair)
	if err != nil {
		metrics.IncReason(c.scope, "admission_refused", err.Reason)
		return nil, err
	}
	return func() { sh.release(state, c.fair) }, nil
}
