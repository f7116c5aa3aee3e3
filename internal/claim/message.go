package claim

import (
	"github.com/swiftvane/swiftvane/internal/claim/rules"
	"github.com/swiftvane/swiftvane/internal/model"
)

// operation says what a message of kind claim asks for.
type operation uint8

const (
	operationVote    operation = 1
	operationRelease operation = 2
	operationHistory operation = 3
	operationConfirm operation = 4
)

// claimMessage is a message of kind claim. A vote is answered with a rules.Vote,
// a history request with a rules.Shared, a confirm with a confirmation, a
// release with nothing.
type claimMessage struct {
	Operation operation    `cbor:"1,keyasint"`
	Claim     *rules.Claim `cbor:"2,keyasint,omitempty"`
}

// confirmation says how long ago the platform named a host list as its newest.
type confirmation struct {
	Revision model.Revision `cbor:"1,keyasint"`
	AgoMS    rules.Time     `cbor:"2,keyasint"`
}

// outcomeMessage is a message of kind outcome. It is not answered.
type outcomeMessage struct {
	Claim *rules.Claim `cbor:"1,keyasint"`
	// Outcome and Brief are an encoded Outcome with and without its answer.
	Outcome []byte `cbor:"2,keyasint"`
	Brief   []byte `cbor:"3,keyasint"`
}
