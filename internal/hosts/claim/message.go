package claim

import "github.com/swiftvane/swiftvane/internal/hosts/claim/rules"

// operation is the kind of request in a claimMessage.
type operation uint8

const (
	operationVote    operation = 1
	operationRelease operation = 2
	operationHistory operation = 3
)

// claimMessage is the payload of peer.KindClaim. The reply to a vote request is a
// rules.Vote, that to a history request a rules.SharedHistory; a release is sent
// without waiting for a reply.
type claimMessage struct {
	Operation operation    `cbor:"1,keyasint"`
	Claim     *rules.Claim `cbor:"2,keyasint,omitempty"`
}

// outcomeMessage is the payload of peer.KindOutcome. It has no reply.
type outcomeMessage struct {
	Claim *rules.Claim `cbor:"1,keyasint"`
	// Outcome and Brief are the encoded Outcome with and without its answer.
	Outcome []byte `cbor:"2,keyasint"`
	Brief   []byte `cbor:"3,keyasint"`
}
