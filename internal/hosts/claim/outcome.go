package claim

import (
	"encoding/json"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Outcome is what became of a claimed request.
type Outcome struct {
	Verdict verdict.Verdict `cbor:"1,keyasint"`
	Reason  verdict.Reason  `cbor:"2,keyasint,omitempty"`
	// Status and Answer are the HTTP status and body that the caller got. Answer
	// is empty if it was too large to keep.
	Status int             `cbor:"3,keyasint"`
	Answer json.RawMessage `cbor:"4,keyasint,omitempty"`
}
