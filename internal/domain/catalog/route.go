package catalog

import "time"

// Route says how the requests of one host name and path prefix are served.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent requests may run more than once.
	Idempotent bool
	// Timeout is the longest time until the final answer.
	Timeout time.Duration
	// Objective is the time within which an answer has its full use.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts is the number of targets that one request may run on; for a
	// sweep it holds for each shard.
	MaxAttempts int
	// Split lists the services of a plain route with their weights.
	Split []WeightedService
	// Shards lists the services of a sweep, one for each shard.
	Shards []ServiceName
	// TopK is the number of records in a sweep's answer.
	TopK int
	// LeastCoverage is the share of shards below which a sweep has failed.
	LeastCoverage float64
}

// WeightedService is one part of a split.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Sweep reports whether the route asks all shards.
func (r *Route) Sweep() bool { return len(r.Shards) > 0 }

// LeastShards is the smallest number of shards in a sweep's answer.
func (r *Route) LeastShards() int {
	for n := 1; n < len(r.Shards); n++ {
		if float64(n)/float64(len(r.Shards)) >= r.LeastCoverage {
			return n
		}
	}
	return len(r.Shards)
}
