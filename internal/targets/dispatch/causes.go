package dispatch

import (
	"context"
	"errors"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Causes that end an exchange before its reply, and errors of dials and probes.
var (
	// errSilent means that the target reports fewer sub-requests than this host has
	// running there, so that an answer is not expected any more.
	errSilent = errors.New("dispatch: the target does not know the exchange any more")
	// errStalled means that the target did not respond to a probe and has not
	// answered on any connection recently.
	errStalled = errors.New("dispatch: the target does not answer")
	// errAllCancelled means that every sub-request of the exchange was cancelled.
	errAllCancelled = errors.New("dispatch: the exchange was cancelled")
	// errStopping means that this host ended before the exchange.
	errStopping = errors.New("dispatch: this host is stopping")
	// errNoControlConn means that the quota leaves no connection for probes.
	errNoControlConn = errors.New("dispatch: the connection quota leaves none for probes")
	// errRefused means that a connection attempt failed, for any reason, before its
	// timeout.
	errRefused = errors.New("dispatch: connection refused")
	// errNoAnswer means that a probe or cancellation got no answer in time, or that
	// its dial timed out, exceeded the quota or was ended by closing the pool.
	errNoAnswer = errors.New("dispatch: no answer in time")
	// errQuota means that this host has opened all connections of its quota for the
	// target.
	errQuota = errors.New("dispatch: this host's connections to the target are all open")
)

// reasonOf returns the reason in the answers of an exchange that was cancelled with
// this cause.
func reasonOf(cause error) verdict.Reason {
	switch {
	case errors.Is(cause, errSilent), errors.Is(cause, errStalled):
		return verdict.TargetSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.DeadlinePassed
	case errors.Is(cause, errStopping):
		return verdict.HostStopping
	default:
		return verdict.Cancelled
	}
}
