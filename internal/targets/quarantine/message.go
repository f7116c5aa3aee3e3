package quarantine

import "github.com/swiftvane/swiftvane/internal/domain/model"

// operation is the purpose of a message of kind peer.KindQuarantineNote.
type operation uint8

const (
	// operationNotes carries records; the answer confirms that they were merged.
	operationNotes operation = 1
	// operationSync requests all records unless the digests are equal.
	operationSync operation = 2
	// operationPermit requests a permit to run a suspect from its arbiter.
	operationPermit operation = 3
	// operationReleasePermit releases a permit.
	operationReleasePermit operation = 4
)

// message is the body of a message of kind peer.KindQuarantineNote.
type message struct {
	Operation   operation     `cbor:"1,keyasint"`
	Records     []*Record     `cbor:"2,keyasint,omitempty"`
	Digest      uint64        `cbor:"3,keyasint,omitempty"`
	Fingerprint Fingerprint   `cbor:"4,keyasint,omitempty"`
	Shard       model.ShardID `cbor:"7,keyasint,omitempty"`
	// Permit identifies a permit among those of its holder.
	Permit uint64 `cbor:"5,keyasint,omitempty"`
	// LeaseMS is the requested lease of the permit, in milliseconds.
	LeaseMS int64 `cbor:"6,keyasint,omitempty"`
}

// answer is the reply to a message. Records answers operationSync, Granted answers
// operationPermit.
type answer struct {
	Records []*Record `cbor:"1,keyasint,omitempty"`
	Granted bool      `cbor:"2,keyasint,omitempty"`
}
