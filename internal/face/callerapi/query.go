// Package callerapi defines the JSON messages between callers and the tier. The
// daemon, the clients and the load generator share them.
package callerapi

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// PathQuery is the path to which queries are posted.
const PathQuery = "/v1/query"

// Request headers of a query.
const (
	// HeaderCaller names the caller; without it the peer's IP address is used.
	HeaderCaller = "X-Caller-Id"
	// HeaderIssuedAt is the time at which the request id was issued, in
	// RFC 3339 or Unix milliseconds, for ids that do not contain it.
	HeaderIssuedAt = "X-Request-Issued-At"
)

// Query is the body of a query.
type Query struct {
	Workload model.WorkloadName `json:"workload"`
	// Body is sent to every shard unchanged.
	Body json.RawMessage `json:"body"`
	// DeadlineMS is the time that the caller waits, in milliseconds from the
	// request's arrival; nil means the workload's default.
	DeadlineMS *int64 `json:"deadline_ms,omitempty"`
	// Services limits the query to these services; empty means all services of
	// the workload.
	Services []model.ServiceName `json:"services,omitempty"`
	// Idempotent overrides the workload's default, but only to be stricter: false
	// makes any query run at most once.
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
