// Package exchange defines a caller's request, a target's reply to it and the
// answer that goes back to the caller, as values without I/O.
package exchange

import "time"

// Request is one request from a caller. It is immutable once read.
type Request struct {
	// ID is the caller's id for this attempt; targets echo it.
	ID     string
	Method string
	Host   string
	// URI is the path and query as sent.
	URI string
	// Forward holds the header lines to forward to targets, each ended by CRLF.
	Forward []byte
	Body    []byte
	// HasBody is set if the caller sent a body, even an empty one.
	HasBody bool
	// CallerTimeout is how long the caller waits for its answer; zero if the request
	// does not state it.
	CallerTimeout time.Duration
	// Arrived is the time at which the first byte was read.
	Arrived time.Time
	// Reserved is the part of the objective that is not left for the targets: what the
	// caller had spent before Arrived and what its answer needs once it is decided.
	Reserved time.Duration
	// LastOnConnection is set if the caller asked to close the connection after
	// the answer.
	LastOnConnection bool
}

// Bodyless reports whether replies to the request have no body.
func (r *Request) Bodyless() bool { return r.Method == "HEAD" }
