// Package requestid generates and checks request ids.
//
// An id is either a UUIDv7, which contains its issue time, or any short string
// together with the time at which its caller issued it. Hosts keep ids in memory
// only and for a limited time; the issue time lets them refuse ids that they may
// no longer remember.
package requestid

import (
	"time"

	"github.com/google/uuid"
)

// Limits of request ids, the same on every host.
const (
	// RetentionWindow is how long an id may be resent after its issue.
	RetentionWindow = 10 * time.Minute
	// ClockMargin is the maximum clock difference between callers and hosts.
	ClockMargin = 2 * time.Second
	// MaxBytes bounds the length of an id.
	MaxBytes = 128
)

// ID is a checked request id.
type ID struct {
	// Value is the id as its caller wrote it.
	Value string
	// IssuedAt is when the id was issued, on its issuer's clock.
	IssuedAt time.Time
	// Minted is set for an id that this process generated for the current
	// request: no other attempt under it can exist until the caller has received
	// the first answer.
	Minted bool
}

// String returns the id's value.
func (id ID) String() string { return id.Value }

// Mint returns a new UUIDv7 id, issued now.
func Mint() (ID, error) {
	u, err := uuid.NewV7()
	if err != nil {
		return ID{}, err
	}
	return ID{Value: u.String(), IssuedAt: timeOf(u), Minted: true}, nil
}

// timeOf returns the issue time of a UUIDv7, whose first 48 bits are Unix
// milliseconds.
func timeOf(u uuid.UUID) time.Time {
	var ms int64
	for _, b := range u[:6] {
		ms = ms<<8 | int64(b)
	}
	return time.UnixMilli(ms)
}
