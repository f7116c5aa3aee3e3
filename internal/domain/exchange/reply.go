package exchange

import "time"

// MaxLimit is the greatest rate, in requests a second, that a target can state. A greater one is
// taken for it: no target serves as many, and the number of requests in any time fits an int.
const MaxLimit = 1e9

// Reply is a target's reply to a request.
type Reply struct {
	// ID is the request id that the target echoed; empty if it sent none.
	ID     string
	Status int
	// Signature proves which request and which target the body belongs to. The host
	// forwards it to the caller without verifying it.
	Signature string
	// NotRun is set if the target reported that it did not run the request.
	NotRun bool
	// OtherTarget is set if the process at the target's address replied that it is
	// another target.
	OtherTarget bool
	// Encoded is set if the body has a content encoding, so that it is not the
	// target's original body.
	Encoded bool
	// Forward holds the header lines to forward to the caller.
	Forward []byte
	Body    []byte
	// Closes is set if the target closes the connection after the reply.
	Closes bool
	// Leaving is set if the target reported that it is leaving.
	Leaving bool
	// Pause is how long the target wants no further request, in a reply that refuses
	// one; zero if it does not say. InvalidPause is set if it said so unreadably.
	Pause        time.Duration
	InvalidPause bool
	// IdleTimeout is how long the target keeps an idle connection open; zero if
	// the reply does not state it.
	IdleTimeout time.Duration
	// Load is the load that the target reported. InvalidLoad is set if it reported one that
	// can't be read or can't be true.
	Load        Load
	InvalidLoad bool
	// Limit is the rate that the target takes from all hosts together, in requests a second
	// and at most MaxLimit, if StatesLimit is set. InvalidLimit is set if the target stated it
	// unreadably.
	Limit        float64
	StatesLimit  bool
	InvalidLimit bool
	// Warmup is for how long the target is still cold, if StatesWarmup is set.
	Warmup       time.Duration
	StatesWarmup bool
}

// Success reports whether the reply has a 2xx status, a non-empty signature and a body
// without a content encoding.
func (r *Reply) Success() bool {
	return r.Status >= 200 && r.Status < 300 && r.Signature != "" && !r.Encoded
}
