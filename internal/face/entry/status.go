package entry

import (
	"net/http"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// statusOf maps reasons to HTTP statuses. Other reasons get their status from the
// verdict.
var statusOf = map[verdict.Reason]int{
	verdict.BadRequest:          http.StatusBadRequest,
	verdict.BodyTooLarge:        http.StatusRequestEntityTooLarge,
	verdict.UnknownWorkload:     http.StatusNotFound,
	verdict.UnknownService:      http.StatusNotFound,
	verdict.DeadlineInvalid:     http.StatusBadRequest,
	verdict.CallerRateLimited:   http.StatusTooManyRequests,
	verdict.CallerInflightLimit: http.StatusTooManyRequests,
	verdict.Quarantined:         http.StatusUnprocessableEntity,
	verdict.RequestIDInvalid:    http.StatusBadRequest,
	verdict.RequestIDExpired:    http.StatusGone,
	verdict.RequestIDDuplicate:  http.StatusConflict,
	verdict.RequestIDReused:     http.StatusConflict,
	verdict.Unauthorized:        http.StatusUnauthorized,
	verdict.DeadlinePassed:      http.StatusGatewayTimeout,
	verdict.Internal:            http.StatusInternalServerError,
}

// StatusFor returns the HTTP status for e: the status of its reason if it has one,
// otherwise 503 for a request that did not run and 502 for one that may have run.
func StatusFor(e *verdict.Error) int {
	if status, ok := statusOf[e.Reason]; ok {
		return status
	}
	if e.Verdict == verdict.NotRun {
		return http.StatusServiceUnavailable
	}
	return http.StatusBadGateway
}
