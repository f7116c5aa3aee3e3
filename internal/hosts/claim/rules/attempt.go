package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Attempt identifies one attempt of one process to claim one id. Every attempt is
// unique, because Seq strictly increases within an incarnation.
type Attempt struct {
	Host        model.HostID      `cbor:"1,keyasint"`
	Incarnation model.Incarnation `cbor:"2,keyasint"`
	Seq         uint64            `cbor:"3,keyasint"`
}

// process identifies a process that makes attempts.
type process struct {
	host        model.HostID
	incarnation model.Incarnation
}

func (a Attempt) process() process { return process{a.Host, a.Incarnation} }
