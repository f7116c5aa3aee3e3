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

// Executor runs one query to its answer.
type Executor interface {
	Execute(ctx context.Context, req *query.Request) (*query.Answer, *verdict.Error)
}

// Admitter decides at once whether a caller's query may start. release must be
// called once the query has ended.
type Admitter interface {
	Admit(caller model.CallerID, policy *config.Policy) (release func(), refusal *verdict.Error)
}

// Quarantine refuses requests that crashed targets before.
type Quarantine interface {
	CheckQuery(caller model.CallerID, workload model.WorkloadName, body []byte) *verdict.Error
}

// Options are what a Server is made of.
type Options struct {
	ListenAddr string
	Views      view.Source
	Executor   Executor
	Admission  Admitter
	Quarantine Quarantine
	Claims     claim.Claimer
	// Ready returns nil once this host may serve.
	Ready func() *verdict.Error
	// MaxBodyBytes bounds a request as it arrives, before its workload is known.
	MaxBodyBytes int
	// MaxDeadline bounds every workload's deadlines.
	MaxDeadline time.Duration
	Scope       metrics.Scope
	Log         logrus.FieldLogger
}
