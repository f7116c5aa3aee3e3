package exchange

import "fmt"

// Malformed is the error for a request that is refused before it was read in
// full. Its connection can't be used for another request.
type Malformed struct {
	Status int
	Reason Reason
	Detail string
}

// Error implements error.
func (m *Malformed) Error() string { return fmt.Sprintf("%s: %s", m.Reason, m.Detail) }

// BadRequestf returns the error for a request that violates the protocol.
func BadRequestf(format string, args ...any) *Malformed {
	return &Malformed{Status: 400, Reason: BadRequest, Detail: fmt.Sprintf(format, args...)}
}
