// Package query executes queries: it plans a query, scatters its sub-requests
// and gathers their results, and replans the whole query if no replica serves
// the planned snapshot any more.
//
// Execute runs on the caller's goroutine; the package starts none.
package query

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/querypath/admission"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
	"github.com/swiftvane/swiftvane/internal/querypath/scatter"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Options configure an Executor.
type Options struct {
	// Views gives the fleet's current view; required.
	Views view.Source
	// Dispatcher runs sub-requests; required.
	Dispatcher subquery.Dispatcher
	// MaxFanOut bounds the shards of one query; zero means no bound.
	MaxFanOut int
	// Scope receives the counters; required.
	Scope metrics.Scope
	// Log receives one line for each discarded plan; required.
	Log logrus.FieldLogger
}

// Executor answers queries. It is safe for concurrent use.
type Executor struct {
	views     view.Source
	planner   *plan.Planner
	scatterer *scatter.Scatterer
	limiter   *admission.Limiter
	maxFanOut int
	scope     metrics.Scope
	log       logrus.FieldLogger
	// prunedFor is the configuration to which the collected statistics were last
	// pruned.
	prunedFor atomic.Pointer[config.Fleet]
}

// New returns an Executor.
func New(o Options) *Executor {
	holdings := plan.NewHoldings()
	return &Executor{
		views:   o.Views,
		planner: plan.NewPlanner(plan.Options{Holdings: holdings}),
		scatterer: scatter.New(scatter.Options{
			Dispatcher: o.Dispatcher,
			Holdings:   holdings,
			Gather:     gather.NewCounters(o.Scope),
			Scope:      o.Scope,
		}),
		limiter:   admission.NewLimiter(),
		maxFanOut: o.MaxFanOut,
		scope:     o.Scope,
		log:       o.Log,
	}
}

// Execute answers the query. The error holds the reason for a failure and
// whether the query may have run.
func (e *Executor) Execute(ctx context.Context, req *Request) (*Answer, *verdict.Error) {
	answer, err := e.execute(ctx, req)
	if err != nil {
		metrics.IncReason(e.scope, "queries_failed", err.Reason)
	}
	return answer, err
}

func (e *Executor) execute(ctx context.Context, req *Request) (*Answer, *verdict.Error) {
	x := &execution{e: e, req: req}
	if refusal := x.check(); refusal != nil {
		return nil, refusal
	}
	e.prune(e.views.Current().Fleet)
	leave, refusal := e.limiter.Enter(req.Workload, req.Caller)
	if refusal != nil {
		return nil, refusal
	}
	defer func() { leave(&x.observed) }()
	return x.run(ctx)
}

// prune drops the statistics of targets, services and workloads that are no
// longer published, once for each configuration.
func (e *Executor) prune(fleet *config.Fleet) {
	last := e.prunedFor.Load()
	if last != fleet && e.prunedFor.CompareAndSwap(last, fleet) && last != nil {
		e.scatterer.Retain(fleet)
	}
}

// execution is the state of one query across its plans.
type execution struct {
	e   *Executor
	req *Request
	// excluded are the snapshots of the discarded plans.
	excluded []model.SnapshotID
	// extra counts the extra sub-requests of the discarded plans.
	extra int
	// mayHaveRun is set once a discarded plan may have run on a target.
	mayHaveRun bool
	observed   admission.Observed
}

// check refuses the query if there is no configuration or its workload is not
// configured. It runs first, so that such a query counts against no limit.
func (x *execution) check() *verdict.Error {
	fleet := x.e.views.Current().Fleet
	if fleet == nil {
		return verdict.Refuse(verdict.HostNotReady, defaultRetryAfter, "no configuration was accepted yet")
	}
	if fleet.Workloads[x.req.Workload] == nil {
		return verdict.RefuseField(verdict.UnknownWorkload, "workload", "workload %q is not configured", x.req.Workload)
	}
	return nil
}

func (x *execution) run(ctx context.Context) (*Answer, *verdict.Error) {
	for {
		if !time.Now().Before(x.req.Deadline) {
			return nil, x.adjustVerdict(verdict.Refuse(verdict.DeadlinePassed, 0, "the deadline passed before the query was started"))
		}
		p, refusal := x.e.planner.Plan(x.e.views.Current(), plan.Query{
			Caller:   x.req.Caller,
			Workload: x.req.Workload,
			Services: x.req.Services,
			Exclude:  x.excluded,
		})
		if refusal == nil {
			refusal = x.e.checkFanOut(p)
		}
		if refusal != nil {
			return nil, x.adjustVerdict(refusal)
		}
		out := x.scatter(ctx, p)
		x.observed = admission.Observed{Waited: out.Waited, Took: out.Took, Refused: out.Refused}
		if out.CoverageMet {
			return x.answer(p, out), nil
		}
		if !x.mayReplan(out) {
			return nil, x.failure(p, out)
		}
		x.discard(p, out)
	}
}

func (x *execution) scatter(ctx context.Context, p *plan.Plan) *scatter.Outcome {
	return x.e.scatterer.Run(ctx, &scatter.Request{
		RequestID:  x.req.RequestID,
		Caller:     x.req.Caller,
		Body:       x.req.Body,
		Deadline:   x.req.Deadline,
		Idempotent: x.req.Idempotent,
		Plan:       p,
	})
}

// checkFanOut refuses a plan with more shards than one query may cover.
func (e *Executor) checkFanOut(p *plan.Plan) *verdict.Error {
	if e.maxFanOut == 0 || len(p.Shards) <= e.maxFanOut {
		return nil
	}
	return verdict.RefuseField(verdict.BadRequest, "services",
		"the query asks %d shards, at most %d are allowed; name fewer services", len(p.Shards), e.maxFanOut)
}

// adjustVerdict sets the verdict of err to Unknown if a discarded plan may have
// run.
func (x *execution) adjustVerdict(err *verdict.Error) *verdict.Error {
	if x.mayHaveRun {
		err.Verdict = verdict.Unknown
	}
	return err
}

func (x *execution) answer(p *plan.Plan, out *scatter.Outcome) *Answer {
	return &Answer{
		Snapshot:         p.Snapshot,
		Coverage:         out.Gathered.Coverage(),
		Results:          out.Gathered.Results(),
		ExtraSubrequests: x.extra + out.Extra,
		Verdict:          out.Gathered.Verdict(),
	}
}

// mayReplan reports whether the whole query may be replanned: its snapshot is no
// longer served, and the query is idempotent or certainly did not run.
func (x *execution) mayReplan(out *scatter.Outcome) bool {
	if !out.SnapshotLost || out.End == scatter.Abandoned || len(x.excluded) >= maxReplans {
		return false
	}
	return x.req.Idempotent || out.Gathered.Verdict() == verdict.NotRun
}

// discard drops a plan whose snapshot is no longer served and excludes that
// snapshot from the next plan. All results of the plan are dropped, since an
// answer holds results of one snapshot only.
func (x *execution) discard(p *plan.Plan, out *scatter.Outcome) {
	x.excluded = append(x.excluded, p.Snapshot)
	x.extra += out.Extra + len(p.Shards)
	x.mayHaveRun = x.mayHaveRun || out.Gathered.Verdict() != verdict.NotRun
	metrics.IncReason(x.e.scope, "plans_discarded", verdict.SnapshotUnavailable)
	x.e.log.WithFields(logrus.Fields{
		"request_id": x.req.RequestID,
		"workload":   x.req.Workload,
		"snapshot":   p.Snapshot,
		"merged":     out.Gathered.Merged(),
	}).Info("plan discarded: its snapshot is no longer served")
}
