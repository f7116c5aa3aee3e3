package gatherlink

import (
	"time"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// routeTerms is a route as it is passed on with a request.
type routeTerms struct {
	Name       string `cbor:"1,keyasint"`
	Host       string `cbor:"2,keyasint"`
	Prefix     string `cbor:"3,keyasint"`
	Idempotent bool   `cbor:"4,keyasint,omitempty"`
	// TimeoutNS and ObjectiveNS are in nanoseconds.
	TimeoutNS      int64                 `cbor:"5,keyasint,omitempty"`
	ObjectiveNS    int64                 `cbor:"6,keyasint,omitempty"`
	Priority       int                   `cbor:"7,keyasint,omitempty"`
	MaxAttempts    int                   `cbor:"8,keyasint,omitempty"`
	Split          []splitTerms          `cbor:"9,keyasint,omitempty"`
	Shards         []catalog.ServiceName `cbor:"10,keyasint,omitempty"`
	TopK           int                   `cbor:"11,keyasint,omitempty"`
	LeastCoverage  float64               `cbor:"12,keyasint,omitempty"`
	AllowedRegions []string              `cbor:"13,keyasint,omitempty"`
}

// splitTerms is a service of a route with its weight.
type splitTerms struct {
	Service catalog.ServiceName `cbor:"1,keyasint"`
	Weight  float64             `cbor:"2,keyasint"`
}

func routeTermsOf(r *catalog.Route) *routeTerms {
	return &routeTerms{
		Name: r.Name, Host: r.Host, Prefix: r.Prefix, Idempotent: r.Idempotent,
		TimeoutNS: r.Timeout.Nanoseconds(), ObjectiveNS: r.Objective.Nanoseconds(),
		Priority: r.Priority, MaxAttempts: r.MaxAttempts, TopK: r.TopK, LeastCoverage: r.LeastCoverage,
		Split:  lo.Map(r.Split, func(w catalog.WeightedService, _ int) splitTerms { return splitTerms(w) }),
		Shards: r.Shards, AllowedRegions: r.AllowedRegions,
	}
}

// route returns the route. It may have no services if the terms are incomplete.
func (t *routeTerms) route() *catalog.Route {
	return catalog.NewRoute(catalog.Route{
		Name: t.Name, Host: t.Host, Prefix: t.Prefix, Idempotent: t.Idempotent,
		Timeout: time.Duration(t.TimeoutNS), Objective: time.Duration(t.ObjectiveNS),
		Priority: t.Priority, MaxAttempts: t.MaxAttempts, TopK: t.TopK, LeastCoverage: t.LeastCoverage,
		Split:  lo.Map(t.Split, func(s splitTerms, _ int) catalog.WeightedService { return catalog.WeightedService(s) }),
		Shards: t.Shards, AllowedRegions: t.AllowedRegions,
	})
}
