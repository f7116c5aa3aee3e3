package entry

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/model"
)

// Headers of a query.
const (
	// HeaderCaller names the caller; without it the peer's IP address is used.
	HeaderCaller = "X-Caller-Id"
	// HeaderIssuedAt is the time at which the request id was issued, in
	// RFC 3339, for ids that do not carry one.
	HeaderIssuedAt = "X-Request-Issued-At"
)

// QueryRequest is the body of POST /v1/query.
type QueryRequest struct {
	Workload model.WorkloadName `json:"workload"`
	// Body is handed to every shard as it is.
	Body json.RawMessage `json:"body"`
	// DeadlineMS is the time that the caller waits, in milliseconds from the
	// request's arrival. Nil takes the workload's default.
	DeadlineMS *int64 `json:"deadline_ms"`
	// Services narrows the query; empty means all services of the workload.
	Services []model.ServiceName `json:"services"`
	// Idempotent overrides the workload's default, towards the stricter side
	// only: false makes any query run at most once.
	Idempotent *bool `json:"idempotent"`
	// RequestID identifies the request across resends. One is issued if empty.
	RequestID string `json:"request_id"`
}
