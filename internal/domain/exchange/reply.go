package exchange

import "time"

// Reply is what a target answered.
type Reply struct {
	// ID is the request id that the target echoed; empty if it sent none.
	ID     string
	Status int
	// Signature proves which request and target the body belongs to.
	Signature string
	// NotRun is set where the target says that it did not run the request.
	NotRun bool
	// OtherTarget is set where another process has the target's address.
	OtherTarget bool
	// Encoded is set where the body is not as the target made it.
	Encoded bool
	// Forward holds the header lines that go on to the caller.
	Forward []byte
	Body    []byte
	// Closes is set where the target closes the connection behind the reply.
	Closes bool
	// IdleTimeout is how long the target keeps the connection idle; zero if it
	// did not say.
	IdleTimeout time.Duration
}

// Success reports whether the reply is the whole and signed answer of a target.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.Encoded
}
