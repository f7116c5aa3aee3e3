package claimmodel

import (
	"strconv"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// process is a process of a host. It is copied before each change.
type process struct {
	// generation distinguishes successive processes of one host.
	generation int
	witness    *rules.Witness
	history    *rules.History
	paused     bool
	pauses     int
	// hash caches the hash of the state; zero means not computed.
	hash uint64
}

func (p *process) clone() *process {
	c := *p
	c.hash = 0
	c.witness = p.witness.Clone()
	c.history = p.history.Clone()
	return &c
}

// stateHash returns a hash that is equal for equal states.
func (p *process) stateHash() uint64 {
	if p.hash == 0 {
		p.hash = xxhash.Sum64(p.appendState(make([]byte, 0, 256)))
	}
	return p.hash
}

func (p *process) appendState(b []byte) []byte {
	b = strconv.AppendInt(append(b, 'g'), int64(p.generation), 36)
	b = strconv.AppendInt(append(b, 'p'), int64(p.pauses), 36)
	b = strconv.AppendBool(b, p.paused)
	b = p.witness.AppendState(append(b, 'w'))
	return p.history.AppendState(append(b, 'h'))
}
