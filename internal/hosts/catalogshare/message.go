package catalogshare

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
)

const (
	// sharePath is the path at which a hub takes links.
	sharePath = "/catalog"
	// observeQuery asks for no entries but only for the counts of hosts.
	observeQuery = "observe"
	// domainQuery has the failure domain of the host that asks.
	domainQuery = "domain"
	// beatEvery is the time between two messages on a link without changes.
	beatEvery = 400 * time.Millisecond
	// linkTimeout is how long a link may be silent.
	linkTimeout = 1200 * time.Millisecond
	// freshFor is how old the sender's own reading of the store may be.
	freshFor = 2600 * time.Millisecond
	// writeTimeout bounds one write to a link.
	writeTimeout = time.Second
	// dialTimeout bounds the set-up of a link.
	dialTimeout = 600 * time.Millisecond
)

// entry is one entry of the store, or its removal.
type entry struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// message is what a hub sends. Full messages hold all entries.
type message struct {
	Full     bool    `cbor:"1,keyasint,omitempty"`
	Revision int64   `cbor:"2,keyasint"`
	Entries  []entry `cbor:"3,keyasint,omitempty"`
	// AgeMS is how long ago the sender's reading of the store was complete.
	AgeMS int64 `cbor:"4,keyasint"`
	// Returned is set on the first changes after the store was away.
	Returned bool `cbor:"5,keyasint,omitempty"`
	// Own is the number of hosts that the sender stands for: itself and those
	// that follow it. Hosts is the number in the fleet as far as it knows.
	Own   int `cbor:"6,keyasint"`
	Hosts int `cbor:"7,keyasint"`
	// OwnDomains and Domains divide these hosts by their failure domain.
	OwnDomains map[string]int `cbor:"12,keyasint,omitempty"`
	Domains    map[string]int `cbor:"13,keyasint,omitempty"`
	// Settled is set once the sender counts on that number.
	Settled bool `cbor:"11,keyasint,omitempty"`
	// Notes tell of requests that crash targets.
	Notes []crashguard.CrashReport `cbor:"8,keyasint,omitempty"`
	// Samples are what a follower saw of targets, Bad the targets that a reader
	// found bad by the samples of all its followers.
	Samples []targethealth.Sample `cbor:"9,keyasint,omitempty"`
	Bad     []string              `cbor:"10,keyasint,omitempty"`
}

func encode(m *message) ([]byte, error) { return cbor.Marshal(m) }

func decode(raw []byte) (*message, error) {
	m := &message{}
	return m, cbor.Unmarshal(raw, m)
}
