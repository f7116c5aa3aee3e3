package exchange

import "fmt"

// Malformed is the error of a request that is refused unread or partly read.
// Its connection can't be used further.
type Malformed struct {
	Status int
	Reason Reason
	Detail string
}

// Error implements error.
func (m *Malformed) Error() string { return fmt.Sprintf("%s: %s", m.Reason, m.Detail) }

// Bad returns the error of a request that breaks the protocol.
func Bad(format string, args ...any) *Malformed {
	return &Malformed{Status: 400, Reason: BadRequest, Detail: fmt.Sprintf(format, args...)}
}
