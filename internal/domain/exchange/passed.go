package exchange

import "github.com/swiftvane/swiftvane/internal/domain/catalog"

// PassedRoute is what a host says of its route for a request that it passes on to another host.
type PassedRoute struct {
	// Fingerprint is that of the route; 0 if the host is of a build that doesn't state it for
	// routes which are no sweeps.
	Fingerprint uint64
	// Version is that of the host's configuration.
	Version int64
	// Terms is the route itself if the other host may serve the request by it although its own
	// configuration differs, nil otherwise.
	Terms *catalog.Route
}

// Acceptance says how a host serves a request of another host.
type Acceptance struct {
	// Serve returns the answer; gone is closed when the request is withdrawn. It is nil if the
	// host refuses the request.
	Serve func(gone <-chan struct{}) *Answer
	// OtherRoute is set if the host refuses the request since its route for it differs.
	OtherRoute bool
}
