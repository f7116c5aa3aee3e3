package callerapi

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Answer is the body of a successful answer.
type Answer struct {
	RequestID string           `json:"request_id"`
	Snapshot  model.SnapshotID `json:"snapshot"`
	Coverage  Coverage         `json:"coverage"`
	Results   []Result         `json:"results"`
	// ExtraSubrequests counts hedges and retries, the sub-requests beyond one per
	// shard.
	ExtraSubrequests int `json:"extra_subrequests"`
}

// Coverage reports which shards of the query's shard map the answer covers.
type Coverage struct {
	Shards   int       `json:"shards"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
}

// Missing is a shard that the answer does not cover, with the reason.
type Missing struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
	Reason  verdict.Reason    `json:"reason"`
}

// Result is one shard's result. Exactly one of Body and BodyBase64 is set.
type Result struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
	Body    json.RawMessage   `json:"body,omitempty"`
	// BodyBase64 holds a result that is not JSON.
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// Error is the body of a refused or failed request.
type Error struct {
	RequestID string          `json:"request_id,omitempty"`
	Verdict   verdict.Verdict `json:"verdict"`
	Reason    verdict.Reason  `json:"reason"`
	Field     string          `json:"field,omitempty"`
	Message   string          `json:"message"`
	// RetryAfterMS is the delay after which to retry, in milliseconds; absent if a
	// retry does not help.
	RetryAfterMS int64 `json:"retry_after_ms,omitempty"`
}
