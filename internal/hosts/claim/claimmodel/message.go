package claimmodel

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

type messageKind uint8

const (
	claimMessage messageKind = iota
	voteMessage
	releaseMessage
	outcomeMessage
)

var messageNames = [...]string{"claim", "vote", "release", "outcome"}

// message is a message in flight between the claimant of an attempt and a witness.
type message struct {
	kind    messageKind
	attempt int
	host    int
	vote    rules.Vote
}

// stateHash returns a hash that is equal for equal messages.
func (m *message) stateHash() uint64 {
	var buf [24]byte
	b := append(buf[:0], byte(m.kind), byte(m.attempt), byte(m.host), byte(m.vote.Answer))
	if m.vote.HistoryComplete {
		b = append(b, 1)
	}
	return xxhash.Sum64(append(b, m.vote.Outcome...))
}
