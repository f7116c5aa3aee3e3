// Package claim makes sure that a non-idempotent request runs at most once
// across the fleet, without storing anything on disk: a request id is claimed at a
// majority of its witnesses before any byte is sent to a target.
//
// Package rules implements the decisions of the protocol and has no clock,
// goroutines or I/O. Service runs them: one goroutine owns the witness table and
// the host lists; claims run on their callers' goroutines.
package claim

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
)

// Claimer claims request ids for this process.
type Claimer interface {
	// Claim returns nil once this process has the exclusive right to run the
	// request until deadline. fingerprint is a hash of caller, workload and body; an
	// id that was claimed with another fingerprint is refused. If the id was claimed
	// before, the error is *Duplicate. Any other error is *verdict.Error, and its
	// verdict is NotRun only if no attempt under the id has run or will run unless
	// the caller sends the request again.
	Claim(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) error
	// Record stores the outcome of a claimed id at its witnesses, which return it
	// for a resend. The id cannot be claimed again. Record does not block.
	Record(id requestid.ID, outcome Outcome)
	// Release releases a claimed id whose request has certainly not run, so that a
	// resend may run. No request may be sent to a target under this claim any more.
	// Release does not block.
	Release(id requestid.ID)
}
