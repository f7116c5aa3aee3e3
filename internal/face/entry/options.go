package entry

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
	"github.com/swiftvane/swiftvane/internal/querypath/query"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// Executor executes one query and returns its answer.
type Executor interface {
	Execute(ctx context.Context, req *query.Request) (*query.Answer, *verdict.Error)
}

// Admitter decides without blocking whether a caller's query may start. If it may,
// release must be called once the query has ended.
type Admitter interface {
	Admit(caller model.CallerID, policy *config.Policy) (release func(), refusal *verdict.Error)
}

// Quarantine refuses queries that have crashed targets before.
type Quarantine interface {
	CheckQuery(caller model.CallerID, workload model.WorkloadName, body []byte) *verdict.Error
}

// Options configures a Server.
type Options struct {
	ListenAddr string
	Views      view.Source
	Executor   Executor
	Admission  Admitter
	Quarantine Quarantine
	Claims     claim.Claimer
	// Ready returns nil if this host can serve queries, otherwise the refusal.
	Ready func() *verdict.Error
	// MaxBodyBytes bounds the size of a request while it is read, before its
	// workload is known.
	MaxBodyBytes int
	// MaxDeadline bounds the deadlines of all workloads.
	MaxDeadline time.Duration
	Scope       metrics.Scope
	Log         logrus.FieldLogger
}
