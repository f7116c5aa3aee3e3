package rules

import "github.com/swiftvane/swiftvane/internal/domain/model"

// Claim asks a witness to grant an id to an attempt.
type Claim struct {
	ID          string  `cbor:"1,keyasint"`
	IssuedAt    Time    `cbor:"2,keyasint"`
	Fingerprint uint64  `cbor:"3,keyasint"`
	Attempt     Attempt `cbor:"4,keyasint"`
	// Revisions are the revisions of the host lists whose witnesses receive the
	// claim, in ascending order. The last is the claimant's newest list.
	Revisions []model.Revision `cbor:"5,keyasint"`
}

func (c *Claim) newest() model.Revision {
	if len(c.Revisions) == 0 {
		return 0
	}
	return c.Revisions[len(c.Revisions)-1]
}
