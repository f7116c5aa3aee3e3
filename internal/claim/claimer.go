// Package claim makes sure that a non-idempotent request runs at most once
// across the fleet, with nothing kept on disk: a request id is claimed at a
// majority of its witnesses before any byte goes to a target.
package claim

import (
	"context"
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/verdict"
)

// Claimer claims request ids for this process.
type Claimer interface {
	// Claim returns nil once this process alone may run the request, until
	// deadline. fingerprint is a hash of caller, workload and body: a known id
	// with another fingerprint is refused. If the id was claimed before, the
	// error is *Duplicate; any other is *verdict.Error, and its verdict is NotRun
	// only if no witness may have granted the id to this or another attempt.
	Claim(ctx context.Context, id string, fingerprint uint64, deadline time.Time) error
	// Record keeps the outcome of a claimed id at its witnesses, so that a resend
	// gets it. It does not block.
	Record(id string, outcome Outcome)
}

// Outcome is what became of a claimed request.
type Outcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// Status and Answer are the HTTP status and body that the caller got. Answer
	// is empty if it was too large to keep.
	Status int             `cbor:"3,keyasint"`
	Answer json.RawMessage `cbor:"4,keyasint,omitempty"`
}

// Duplicate is returned for an id that was claimed before. Outcome is nil while
// no witness knows what became of it.
type Duplicate struct {
	Outcome *Outcome
}

// Error implements error.
func (d *Duplicate) Error() string { return "claim: the request id was claimed before" }
