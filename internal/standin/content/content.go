// Package content computes the answers of stand-in targets, so that tests can
// compute the expected answer themselves.
package content

import (
	"encoding/json"
	"fmt"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Result is the body of an answer.
type Result struct {
	Workload model.WorkloadName `json:"workload"`
	Shard    model.ShardID      `json:"shard"`
	Snapshot model.SnapshotID   `json:"snapshot"`
	// Digest is a hash over the other fields and the request's body.
	Digest string `json:"digest"`
}

// Answer returns the JSON body of the answer to body. The result depends only on
// the arguments.
func Answer(workload model.WorkloadName, shard model.ShardID, snapshot model.SnapshotID, body []byte) []byte {
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%q %q %d ", workload, shard, snapshot)
	_, _ = hash.Write(body)
	encoded, err := json.Marshal(Result{
		Workload: workload,
		Shard:    shard,
		Snapshot: snapshot,
		Digest:   fmt.Sprintf("%016x", hash.Sum64()),
	})
	if err != nil {
		panic(err) // strings and numbers always encode
	}
	return encoded
}
