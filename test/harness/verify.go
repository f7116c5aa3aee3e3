package harness

import (
	"bytes"
	"encoding/json"
	"fmt"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/content"
)

// Verify checks an answer to a query of all services, each of which has one shard. It
// returns an error if a result differs from that of the snapshot that the host chose for
// the query and reports in the answer, or if the reported coverage disagrees with the
// results.
func (f *Fleet) Verify(body json.RawMessage, answer *callerapi.Answer) error {
	answered := map[model.ShardID]bool{}
	for _, result := range answer.Results {
		if answered[result.Shard] {
			return fmt.Errorf("request %s: two results for shard %s", answer.RequestID, result.Shard)
		}
		answered[result.Shard] = true
		want := content.Answer(f.Shape.Workload, result.Shard, answer.Snapshot, body)
		if !bytes.Equal(want, result.Body) {
			return fmt.Errorf("request %s: shard %s: got %s, want %s", answer.RequestID, result.Shard, result.Body, want)
		}
	}
	for _, missing := range answer.Coverage.Missing {
		if answered[missing.Shard] || missing.Reason == "" {
			return fmt.Errorf("request %s: shard %s is reported missing but has a result, or has no reason", answer.RequestID, missing.Shard)
		}
		answered[missing.Shard] = false
	}
	c := answer.Coverage
	if c.Answered != len(answer.Results) || c.Answered+len(c.Missing) != c.Shards || len(answered) != f.Shape.Services || c.Shards != f.Shape.Services {
		return fmt.Errorf("request %s: coverage %+v does not match %d results of %d shards", answer.RequestID, c, len(answer.Results), f.Shape.Services)
	}
	return nil
}
