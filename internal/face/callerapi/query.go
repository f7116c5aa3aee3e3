// Package callerapi holds the JSON messages between callers and the tier. The
// daemon, the clients and the load generator share them.
package callerapi

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// PathQuery is where queries are posted.
const PathQuery = "/v1/query"

// Headers of a query.
const (
	// HeaderCaller names the caller; without it the peer's IP address is used.
	HeaderCaller = "X-Caller-Id"
	// HeaderIssuedAt is the time at which the request id was issued, in
	// RFC 3339 or Unix milliseconds, for ids that do not carry one.
	HeaderIssuedAt = "X-Request-Issued-At"
)

// Query is the body of a query.
type Query struct {
	Workload model.WorkloadName `json:"workload"`
	// Body is handed to every shard as it is.
	Body json.RawMessage `json:"body"`
	// DeadlineMS is the time that the caller waits, in milliseconds from the
	// request's arrival. Nil takes the workload's default.
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
	// Services narrows the query; empty means all services of the workload.
	Services []model.ServiceName `json:"services,omitempty"`
	// Idempotent overrides the workload's default, towards the stricter side
	// only: false makes any query run at most once.
	Idempotent *bool `json:"idempotent,omitempty"`
	// RequestID identifies the request across resends. One is issued if empty.
	RequestID string `json:"request_id,omitempty"`
}

// Deadline returns d as a query's DeadlineMS; zero means none.
func Deadline(d time.Duration) *int64 {
	if d == 0 {
		return nil
	}
	ms := d.Milliseconds()
	return &ms
}
