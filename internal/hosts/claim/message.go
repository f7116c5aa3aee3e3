package claim

import "github.com/swiftvane/swiftvane/internal/hosts/claim/rules"

// operation says what a message of kind claim asks for.
type operation uint8

const (
	operationVote    operation = 1
	operationRelease operation = 2
	operationHistory operation = 3
)

// claimMessage is a message of kind claim. A vote is answered with a rules.Vote,
// a history request with a rules.Shared, a release with nothing.
type claimMessage struct {
	Operation operation    `cbor:"1,keyasint"`
	Claim     *rules.Claim `cbor:"2,keyasint,omitempty"`
}

// outcomeMessage is a message of kind outcome. It is not answered.
type outcomeMessage struct {
	Claim *rules.Claim `cbor:"1,keyasint"`
	// Outcome and Brief are an encoded Outcome with and without its answer.
	Outcome []byte `cbor:"2,keyasint"`
	Brief   []byte `cbor:"3,keyasint"`
}
