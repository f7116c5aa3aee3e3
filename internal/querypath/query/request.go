package query

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Request is one caller's query after validation and admission.
type Request struct {
	RequestID string
	Caller    model.CallerID
	Workload  model.WorkloadName
	// Services limits the query to these services; empty means every service of
	// the workload.
	Services []model.ServiceName
	Body     []byte
	// Deadline is on this process's monotonic clock.
	Deadline time.Time
	// Idempotent queries may be hedged, retried and replanned.
	Idempotent bool
}
