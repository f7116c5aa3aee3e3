package quarantine

import "github.com/swiftvane/swiftvane/internal/domain/model"

// NoteID identifies a note uniquely in the fleet.
type NoteID struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}

// Note records that a target crashed while it ran a request.
type Note struct {
	ID      NoteID            `cbor:"1,keyasint"`
	Service model.ServiceName `cbor:"2,keyasint"`
	Target  model.TargetID    `cbor:"3,keyasint"`
	Shard   model.ShardID     `cbor:"5,keyasint"`
	// AtMS is the time of the crash by the clock of the host that recorded it, in
	// Unix milliseconds.
	AtMS int64 `cbor:"4,keyasint"`
}
