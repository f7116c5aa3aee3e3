package dispatch

import (
	"context"
	"errors"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Causes that end an exchange before its answer.
var (
	// errSilent means that the target reports fewer sub-requests than this host has
	// running there, so that an answer is not expected any more.
	errSilent = errors.New("dispatch: the target does not know the exchange any more")
	// errStalled means that the target responds on no connection.
	errStalled = errors.New("dispatch: the target does not answer")
	// errAllCancelled means that every sub-request of the exchange was cancelled.
	errAllCancelled = errors.New("dispatch: the exchange was cancelled")
	// errNoControlConn means that the quota leaves no connection for probes.
	errNoControlConn = errors.New("dispatch: the connection quota leaves none for probes")
	// errRefused means that a connection attempt failed before its timeout.
	errRefused = errors.New("dispatch: connection refused")
	// errNoAnswer means that a probe or cancellation got no answer in time.
	errNoAnswer = errors.New("dispatch: no answer in time")
	// errQuota means that this host has opened all connections of its quota.
	errQuota = errors.New("dispatch: this host's connections to the target are all open")
)

// reasonOf returns the reason for the answers of an exchange that was ended with
// this cause.
func reasonOf(cause error) verdict.Reason {
	switch {
	case errors.Is(cause, errSilent), errors.Is(cause, errStalled):
		return verdict.TargetSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.DeadlinePassed
	default:
		return verdict.Cancelled
	}
}
