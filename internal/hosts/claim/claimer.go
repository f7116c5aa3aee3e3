// Package claim makes sure that a non-idempotent request runs at most once
// across the fleet, with nothing kept on disk: a request id is claimed at a
// majority of its witnesses before any byte goes to a target.
//
// The rules that decide are in the package rules, which has no clock, no
// goroutine and no I/O. Service runs them: one goroutine owns the witness table
// and the host lists; claims run on their callers' goroutines.
package claim

import (
	"context"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
)

// Claimer claims request ids for this process.
type Claimer interface {
	// Claim returns nil once this process alone may run the request, until
	// deadline. fingerprint is a hash of caller, workload and body: a known id
	// with another fingerprint is refused. If the id was claimed before, the
	// error is *Duplicate; any other is *verdict.Error, and its verdict is NotRun
	// only if no attempt under the id has run or will run without being sent anew.
	Claim(ctx context.Context, id requestid.ID, fingerprint uint64, deadline time.Time) error
	// Record keeps the outcome of a claimed id at its witnesses, so that a resend
	// gets it. The id is used up. It does not block.
	Record(id requestid.ID, outcome Outcome)
	// Release gives up a claimed id whose request was certainly not run, so that
	// a resend may run. Nothing may be sent to a target under this claim any
	// more. It does not block.
	Release(id requestid.ID)
}
