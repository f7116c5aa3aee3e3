package quarantine

import "github.com/swiftvane/swiftvane/internal/domain/model"

// operation says what a message of kind quarantine note is for.
type operation uint8

const (
	// operationNotes tells records; the answer says that they were taken in.
	operationNotes operation = 1
	// operationSync asks for all records, unless the digests are equal.
	operationSync operation = 2
	// operationPermit asks the arbiter of a suspect to let it run.
	operationPermit operation = 3
	// operationDone gives a permit back.
	operationDone operation = 4
)

// message is a message of kind quarantine note.
type message struct {
	Operation   operation     `cbor:"1,keyasint"`
	Records     []*Record     `cbor:"2,keyasint,omitempty"`
	Digest      uint64        `cbor:"3,keyasint,omitempty"`
	Fingerprint Fingerprint   `cbor:"4,keyasint,omitempty"`
	Shard       model.ShardID `cbor:"7,keyasint,omitempty"`
	// Permit numbers a permit among those of its holder.
	Permit uint64 `cbor:"5,keyasint,omitempty"`
	// LeaseMS is how long the permit is asked for, in milliseconds.
	LeaseMS int64 `cbor:"6,keyasint,omitempty"`
}

// answer answers a message.
type answer struct {
	Records []*Record `cbor:"1,keyasint,omitempty"`
	Granted bool      `cbor:"2,keyasint,omitempty"`
}
