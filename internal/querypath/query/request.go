package query

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Request is one caller's query, checked and admitted.
type Request struct {
	RequestID string
	Caller    model.CallerID
	Workload  model.WorkloadName
	// Services narrows the query; empty means every service of the workload.
	Services []model.ServiceName
	Body     []byte
	// Deadline is on this process's monotonic clock.
	Deadline time.Time
	// Idempotent queries may be hedged, retried and planned again.
	Idempotent bool
}
