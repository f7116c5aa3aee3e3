package claim

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Outcome is the result of a claimed request.
type Outcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// Status and Answer are the HTTP status and body of the response to the caller.
	// Answer is empty if it was too large to store.
	Status int             `cbor:"3,keyasint"`
	Answer json.RawMessage `cbor:"4,keyasint,omitempty"`
}
