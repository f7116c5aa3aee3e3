package query

import (
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
	"github.com/swiftvane/swiftvane/internal/querypath/plan"
	"github.com/swiftvane/swiftvane/internal/querypath/scatter"
)

const (
	// maxReplans bounds the plans that replace a query's first plan.
	maxReplans = 2
	// defaultRetryAfter is the retry hint of errors for which no target gave a
	// longer one.
	defaultRetryAfter = 500 * time.Millisecond
)

// failure returns the final error of a query whose coverage was too low.
func (x *execution) failure(p *plan.Plan, out *scatter.Outcome) *verdict.Error {
	coverage := out.Gathered.Coverage()
	err := &verdict.Error{
		Verdict:    out.Gathered.Verdict(),
		Reason:     failureReason(out.End, &coverage),
		RetryAfter: max(out.RetryAfter, defaultRetryAfter),
		Message: fmt.Sprintf("%d of %d shards of snapshot %d answered, the policy asks for %.4g of them; first missing: %s",
			len(coverage.Answered), coverage.Total, p.Snapshot, p.Policy.MinCoverage, firstMissing(&coverage)),
	}
	return x.adjustVerdict(err)
}

// failureReason returns the reason for a query that failed after it was planned.
// A query that ended by its deadline or by cancellation has that reason. Any
// other has the reason common to all missing shards if no shard answered, and
// CoverageTooLow otherwise.
func failureReason(end scatter.End, c *gather.Coverage) verdict.Reason {
	switch end {
	case scatter.Expired:
		return verdict.DeadlinePassed
	case scatter.Abandoned:
		return verdict.Cancelled
	case scatter.Complete, scatter.Partial, scatter.CoverageUnreachable:
	}
	sole := verdict.Reason("")
	for i := range c.Missing {
		r := c.Missing[i].Reason
		if r == verdict.CoverageTooLow {
			continue
		}
		if sole != "" && sole != r {
			return verdict.CoverageTooLow
		}
		sole = r
	}
	if sole == "" || c.Total > 1 && len(c.Answered) > 0 {
		return verdict.CoverageTooLow
	}
	return sole
}

// firstMissing describes the first shard that is missing for a reason of its own.
func firstMissing(c *gather.Coverage) string {
	for _, m := range c.Missing {
		if m.Reason != verdict.CoverageTooLow {
			return fmt.Sprintf("%s of %s (%s)", m.Shard, m.Service, m.Reason)
		}
	}
	return "none"
}
