package quarantine

import "github.com/swiftvane/swiftvane/internal/domain/model"

// NoteID names a note; no two notes of the fleet are equal in it.
type NoteID struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}

// Note says that a target died while it ran a request.
type Note struct {
	ID      NoteID            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
	Target  model.TargetID    `cbor:"3,keyasint"`
	Shard   model.ShardID     `cbor:"5,keyasint"`
	// AtMS is when it died, in Unix milliseconds of the noting host's clock.
	AtMS int64 `cbor:"4,keyasint"`
}
