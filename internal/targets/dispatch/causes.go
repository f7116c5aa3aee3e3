package dispatch

import (
	"context"
	"errors"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Causes that end an exchange before its answer.
var (
	// errSilent means that the target works on fewer sub-requests than it was
	// sent, so that its answer will never come.
	errSilent = errors.New("dispatch: the target does not know the exchange any more")
	// errStalled means that the target answers on no connection.
	errStalled = errors.New("dispatch: the target does not answer")
	// errUnwanted means that every sub-request of the exchange was cancelled.
	errUnwanted = errors.New("dispatch: the exchange was cancelled")
	// errNoControlConn is returned where the quota leaves no connection for probes.
	errNoControlConn = errors.New("dispatch: the connection quota leaves none for probes")
	// errRefused means that a connection was refused at once.
	errRefused = errors.New("dispatch: connection refused")
	// errNoAnswer means that a probe or cancellation got no answer in time.
	errNoAnswer = errors.New("dispatch: no answer in time")
	// errQuota is returned where this host's share of connections is open.
	errQuota = errors.New("dispatch: this host's connections to the target are all open")
)

// reasonOf returns the reason of the answers to an exchange that cause ended.
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
