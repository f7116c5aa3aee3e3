package catalog

import "time"

// Route defines how requests for one host name and path prefix are served. A route is
// either a sweep, whose requests go to all shards of an index and whose answers combine
// the records of the shards, or it sends each request to one of the services in Split.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if the route's requests may run more than once.
	Idempotent bool
	// Timeout bounds the time until the final answer.
	Timeout time.Duration
	// Objective is the latency objective; an answer after it counts as late.
	Objective time.Duration
	// Priority ranks the route's requests; 0 is the most urgent.
	Priority int
	// MaxAttempts bounds the number of targets that one request may run on; in
	// a sweep it applies to each shard.
	MaxAttempts int
	// Split lists the services of a route that is not a sweep, with their weights.
	Split []WeightedService
	// Shards lists the services of a sweep, one per shard.
	Shards []ServiceName
	// TopK is the number of records in a sweep's answer.
	TopK int
	// LeastCoverage is the minimum share of shards that a sweep's answer needs.
	LeastCoverage float64
	// AllowedRegions are the route's home regions: its requests reach only targets in
	// them. Empty means all regions.
	AllowedRegions []string
	// Fingerprint identifies how requests are served: two hosts whose routes for a
	// request have the same one send it to the same services under the same bounds, and
	// agree on whether it may be repeated. It is never 0, and set by NewConfig and NewRoute.
	Fingerprint uint64
}

// NewRoute returns a copy of a route that an operator or another host has stated, with its fingerprint and
// all numbers in bounds.
func NewRoute(of Route) *Route {
	of.bound()
	of.Fingerprint = fingerprintOf(&of)
	return &of
}

// Once returns a copy of the route whose requests must not be repeated.
func (r *Route) Once() *Route {
	once := *r
	once.Idempotent = false
	return &once
}

// WeightedService is a service with its weight in a traffic split.
type WeightedService struct {
	Service ServiceName
	Weight  float64
}

// Sweep reports whether requests go to all shards of an index.
func (r *Route) Sweep() bool { return len(r.Shards) > 0 }

// LeastShards returns the minimum number of shards that a sweep's answer needs,
// rounded up from LeastCoverage. It is at least one for a sweep, and 0 for a route that
// is no sweep.
func (r *Route) LeastShards() int {
	for n := 1; n < len(r.Shards); n++ {
		if float64(n)/float64(len(r.Shards)) >= r.LeastCoverage {
			return n
		}
	}
	return len(r.Shards)
}
