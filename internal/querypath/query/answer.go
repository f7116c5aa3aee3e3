package query

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/querypath/gather"
)

// Answer is the answer to one query. Every result comes from Snapshot.
type Answer struct {
	Snapshot model.SnapshotID
	Coverage gather.Coverage
	// Results are in the order of the shard map, one for each shard answered.
	Results []gather.Result
	// ExtraSubrequests counts hedges, retries and the sub-requests of discarded
	// plans.
	ExtraSubrequests int
	// Verdict is Ran if every shard ran the query, and Unknown otherwise.
	Verdict verdict.Verdict
}
