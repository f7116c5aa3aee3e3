// Package exchange holds one request of a caller, a target's reply to it and
// the answer that the caller gets, as values without I/O.
package exchange

import "time"

// Request is one attempt of a caller. It is not changed once it was read.
type Request struct {
	// ID is the caller's own id of this attempt, echoed by targets.
	ID     string
	Method string
	Host   string
	// URI is the path and query as sent.
	URI string
	// Forward holds the header lines that go on to targets, each ended by CRLF.
	Forward []byte
	Body    []byte
	// HasBody is set where the caller sent a body, even an empty one.
	HasBody bool
	// Patience is how long the caller waits; zero if it did not say.
	Patience time.Duration
	// Arrived is when the first byte was read.
	Arrived time.Time
	// LastOnConnection is set where the caller wants the connection closed.
	LastOnConnection bool
}

// Bodyless reports whether replies to the request have no body.
func (r *Request) Bodyless() bool { return r.Method == "HEAD" }
