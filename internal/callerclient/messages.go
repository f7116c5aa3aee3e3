// Package callerclient asks the tier as a caller that handles retries and
// request ids rightly: it sends a request again only where the tier said that
// it did not run and when to ask again, and always under the same id.
package callerclient

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

const (
	pathQuery      = "/v1/query"
	headerCaller   = "X-Caller-Id"
	headerIssuedAt = "X-Request-Issued-At"
)

// Query is a request as a caller sends it.
type Query struct {
	Workload   model.WorkloadName  `json:"workload"`
	Body       json.RawMessage     `json:"body"`
	DeadlineMS int64               `json:"deadline_ms,omitempty"`
	Services   []model.ServiceName `json:"services,omitempty"`
	Idempotent *bool               `json:"idempotent,omitempty"`
	RequestID  string              `json:"request_id,omitempty"`
}

// Answer is a successful answer.
type Answer struct {
	RequestID        string           `json:"request_id"`
	Snapshot         model.SnapshotID `json:"snapshot"`
	Coverage         Coverage         `json:"coverage"`
	Results          []Result         `json:"results"`
	ExtraSubrequests int              `json:"extra_subrequests"`
}

// Coverage says which shards an answer covers.
type Coverage struct {
	Shards   int       `json:"shards"`
	Answered int       `json:"answered"`
	Missing  []Missing `json:"missing"`
}

// Missing is one shard that an answer does not cover.
type Missing struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
	Reason  verdict.Reason    `json:"reason"`
}

// Result is one shard's result.
type Result struct {
	Shard   model.ShardID     `json:"shard"`
	Service model.ServiceName `json:"service"`
	Body    json.RawMessage   `json:"body,omitempty"`
	// BodyBase64 holds a result that is not JSON.
	BodyBase64 []byte `json:"body_base64,omitempty"`
}

// failure is the body of a refused or failed request.
type failure struct {
	RequestID    string          `json:"request_id"`
	Verdict      verdict.Verdict `json:"verdict"`
	Reason       verdict.Reason  `json:"reason"`
	Field        string          `json:"field"`
	Message      string          `json:"message"`
	RetryAfterMS int64           `json:"retry_after_ms"`
}
