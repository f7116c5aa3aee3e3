package claimmodel

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// phase is the progress of an attempt.
type phase uint8

const (
	// collecting means that the attempt waits for votes.
	collecting phase = iota
	// ran means that the target ran the request and the caller has no answer yet.
	ran
	// answered means that the caller received the answer.
	answered
	// ended means that the attempt failed or was abandoned.
	ended
)

// attempt is one attempt to run the request. It is copied before each change.
type attempt struct {
	phase      phase
	host       int
	generation int
	pauses     int
	minted     bool
	claim      rules.Claim
	tally      *rules.Tally
	deadline   rules.Time
	// hash caches the hash of the state; zero means not computed.
	hash uint64
}

func (a *attempt) clone() *attempt {
	c := *a
	c.hash = 0
	if a.tally != nil {
		c.tally = a.tally.Clone()
	}
	return &c
}

func (a *attempt) witnesses() []model.HostID {
	if a.tally == nil {
		return nil
	}
	return a.tally.Witnesses()
}

// stateHash returns a hash that is equal for equal states.
func (a *attempt) stateHash() uint64 {
	if a.hash == 0 {
		a.hash = xxhash.Sum64(a.appendState(make([]byte, 0, 128)))
	}
	return a.hash
}

func (a *attempt) appendState(b []byte) []byte {
	b = strconv.AppendInt(append(b, 'a'), int64(a.phase), 36)
	b = strconv.AppendInt(append(b, ','), int64(a.host), 36)
	b = strconv.AppendInt(append(b, ','), int64(a.generation), 36)
	b = strconv.AppendInt(append(b, ','), int64(a.pauses), 36)
	b = strconv.AppendInt(append(b, ','), int64(a.deadline), 36)
	for _, r := range a.claim.Revisions {
		b = strconv.AppendUint(append(b, 'r'), uint64(r), 36)
	}
	if a.tally != nil && a.phase != answered {
		b = a.tally.AppendState(b)
	}
	return b
}
