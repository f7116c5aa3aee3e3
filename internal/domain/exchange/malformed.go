package exchange

import (
	"fmt"
	"time"
)

// Malformed is the error for a request that is refused before it was read in
// full. Its connection can't be used for another request.
type Malformed struct {
	Status int
	Reason Reason
	Detail string
	// RetryAfter is set if a later retry can succeed.
	RetryAfter time.Duration
}

// Error implements error.
func (m *Malformed) Error() string { return fmt.Sprintf("%s: %s", m.Reason, m.Detail) }

// TooLarge reports whether the request is over a limit on its size.
func (m *Malformed) TooLarge() bool { return m.Reason == HeaderTooLarge || m.Reason == BodyTooLarge }

// BadRequestf returns the error for a request that violates the protocol.
func BadRequestf(format string, args ...any) *Malformed {
	return &Malformed{Status: 400, Reason: BadRequest, Detail: fmt.Sprintf(format, args...)}
}
