// Package scatter sends the sub-requests of one query to replicas, hedges and
// retries them within budgets, and decides when the query ends.
//
// Each query has one event loop, which runs on the goroutine that calls Run.
// Statistics from answers are kept for each target and service and are shared by
// all queries without a lock. The package starts no goroutine.
package scatter

import (
	"context"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
	"github.com/swiftvane/swiftvane/internal/support/latency"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Options configure a Scatterer.
type Options struct {
	// Dispatcher runs sub-requests; required.
	Dispatcher subquery.Dispatcher
	// Holdings is updated from answers; required.
	Holdings *plan.Holdings
	// Gather counts discarded sub-answers; required.
	Gather *gather.Counters
	// Scope receives the counters; required.
	Scope metrics.Scope
}

// Request is one query with its plan.
type Request struct {
	RequestID  string
	Caller     model.CallerID
	Body       []byte
	Deadline   time.Time
	Idempotent bool
	Plan       *plan.Plan
}

// Scatterer runs queries. It is safe for concurrent use.
type Scatterer struct {
	dispatcher subquery.Dispatcher
	holdings   *plan.Holdings
	discarded  *gather.Counters
	counters   *counters
	targets    *TargetTable
	// services maps serviceKey to *latency.Histogram.
	services sync.Map
	// budgets maps model.WorkloadName to *budgets.
	budgets sync.Map
}

// serviceKey identifies a service of a workload. An empty service means the
// whole workload.
type serviceKey struct {
	workload model.WorkloadName
	service  model.ServiceName
}

// budgets limit the hedges and the retries of one workload.
type budgets struct {
	hedge, retry *Budget
}

// New returns a Scatterer.
func New(o Options) *Scatterer {
	return &Scatterer{
		dispatcher: o.Dispatcher,
		holdings:   o.Holdings,
		discarded:  o.Gather,
		counters:   newCounters(o.Scope),
		targets:    NewTargetTable(),
	}
}

// Run sends the query's sub-requests and returns once all shards are merged or
// finally failed, the policy allows a partial answer, the policy's coverage can't
// be reached any more, the deadline has passed or ctx is done. It then cancels the
// sub-requests that are still outstanding.
func (s *Scatterer) Run(ctx context.Context, req *Request) *Outcome {
	return newRun(s, req, time.Now()).loop(ctx)
}

// Retain drops the statistics and budgets of targets, services and workloads that
// the configuration does not contain.
func (s *Scatterer) Retain(fleet *config.Fleet) {
	known := func(id model.TargetID) bool { return fleet.Targets[id] != nil }
	s.targets.Retain(known)
	s.holdings.Forget(known)
	s.budgets.Range(func(workload, _ any) bool {
		if fleet.Workloads[workload.(model.WorkloadName)] == nil {
			s.budgets.Delete(workload)
		}
		return true
	})
	published := publishedServices(fleet)
	s.services.Range(func(key, _ any) bool {
		if _, ok := published[key.(serviceKey)]; !ok {
			s.services.Delete(key)
		}
		return true
	})
}

// publishedServices returns the keys of the services of every published snapshot
// and of the workloads as a whole.
func publishedServices(fleet *config.Fleet) map[serviceKey]struct{} {
	published := make(map[serviceKey]struct{})
	for workload, index := range fleet.Indexes {
		published[serviceKey{workload: workload}] = struct{}{}
		for i := range index.Snapshots {
			for j := range index.Snapshots[i].Shards {
				published[serviceKey{workload: workload, service: index.Snapshots[i].Shards[j].Service}] = struct{}{}
			}
		}
	}
	return published
}

// latency returns the latency histogram of a service, or of the whole workload if
// svc is empty.
func (s *Scatterer) latency(w model.WorkloadName, svc model.ServiceName) *latency.Histogram {
	key := serviceKey{workload: w, service: svc}
	if l, ok := s.services.Load(key); ok {
		return l.(*latency.Histogram)
	}
	l, _ := s.services.LoadOrStore(key, &latency.Histogram{})
	return l.(*latency.Histogram)
}

func (s *Scatterer) budgetsOf(w model.WorkloadName) *budgets {
	if b, ok := s.budgets.Load(w); ok {
		return b.(*budgets)
	}
	b, _ := s.budgets.LoadOrStore(w, &budgets{hedge: NewBudget(), retry: NewBudget()})
	return b.(*budgets)
}
