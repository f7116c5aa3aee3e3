package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

const (
	// Path is the path at which a hub accepts links.
	Path = "/catalog"
	// observeQuery is the query parameter of a link without entries.
	observeQuery = "observe"
	// domainQuery is the query parameter with the dialing host's failure domain.
	domainQuery = "domain"
	// addrQuery and capacityQuery are those with its address for links of other hosts
	// and its processor capacity in thousandths of a core.
	addrQuery     = "addr"
	capacityQuery = "capacity"
	// heartbeatInterval is the time between two messages on a link without changes.
	heartbeatInterval = 400 * time.Millisecond
	// linkTimeout is how long a link may be silent before it is closed.
	linkTimeout = 1200 * time.Millisecond
	// reportTimeout is how long a follower that reports periodically may be silent.
	reportTimeout = 1500 * time.Millisecond
	// maxReadAge is the greatest accepted age of a reader's data, counted from its
	// last successful call to the store.
	maxReadAge = 2600 * time.Millisecond
	// writeTimeout bounds one write to a link.
	writeTimeout = time.Second
	// dialTimeout bounds the set-up of a link, handshake included.
	dialTimeout = 600 * time.Millisecond
)

// entry is one entry of the store, or its removal.
type entry struct {
	Key      string `cbor:"1,keyasint"`
	Value    []byte `cbor:"2,keyasint,omitempty"`
	Revision int64  `cbor:"3,keyasint"`
	Deleted  bool   `cbor:"4,keyasint,omitempty"`
}

// TargetStart identifies a start of a target.
type TargetStart struct {
	Target string `cbor:"1,keyasint"`
	// Born distinguishes starts under one id, see catalog.Target.
	Born int64 `cbor:"2,keyasint,omitempty"`
}

// message is sent in both directions of a link. A hub fills all fields but
// Samples and PauseEnds; a follower sends only CrashReports, CrashMemoryMS, PendingCrashes,
// CrashesSettled, Leaving, Samples, PauseEnds, Limits, LimitDemand and Stewards. An answer to
// Stewards has no counts.
type message struct {
	// Full messages hold all entries, others only changed ones.
	Full bool `cbor:"1,keyasint,omitempty"`
	// Revision and Era are the sender's position in the store's history.
	Revision int64   `cbor:"2,keyasint"`
	Era      int64   `cbor:"14,keyasint,omitempty"`
	Entries  []entry `cbor:"3,keyasint,omitempty"`
	// AgeMS is the age of the sender's data, in milliseconds since its last
	// successful call to the store.
	AgeMS int64 `cbor:"4,keyasint"`
	// AfterOutage is set on the first changes after a store outage.
	AfterOutage bool `cbor:"5,keyasint,omitempty"`
	// OwnHosts counts the sender and its followers. Hosts is the sender's count of
	// the whole fleet.
	OwnHosts int `cbor:"6,keyasint"`
	Hosts    int `cbor:"7,keyasint"`
	// OwnDomains and Domains are the same counts by failure domain.
	OwnDomains map[string]int `cbor:"12,keyasint,omitempty"`
	Domains    map[string]int `cbor:"13,keyasint,omitempty"`
	// Settled is set once the sender considers Hosts settled.
	Settled bool `cbor:"11,keyasint,omitempty"`
	// CrashReports are new reports of requests that crashed targets.
	CrashReports []crashguard.CrashReport `cbor:"8,keyasint,omitempty"`
	// Members are the sender and its followers as candidates for gatherers; they are
	// sent when they change. Gatherers are those that the sender selected or got.
	Members   []gathering.Member `cbor:"16,keyasint,omitempty"`
	Gatherers []gathering.Member `cbor:"17,keyasint,omitempty"`
	// Helpers are hosts that may serve requests for one that can't reach the targets; they
	// are sent when they change.
	Helpers []gathering.Member `cbor:"29,keyasint,omitempty"`
	// Leaving are targets that have reported that they are leaving. LeavingAgesMS has,
	// in the same order, the times since the first reports, in milliseconds.
	Leaving       []TargetStart `cbor:"15,keyasint,omitempty"`
	LeavingAgesMS []int64       `cbor:"25,keyasint,omitempty"`
	// Samples are a follower's counts of good and bad exchanges by target.
	// Unhealthy lists the targets that a reader found unhealthy from its followers'
	// samples.
	Samples   []targethealth.Sample `cbor:"9,keyasint,omitempty"`
	Unhealthy []string              `cbor:"10,keyasint,omitempty"`
	// Reports is set by a follower that sends its samples periodically, even if there
	// are none: the reader takes its silence for its end.
	Reports bool `cbor:"18,keyasint,omitempty"`
	// Disputed, in a full message, has the evacuations and withdrawals by which a store
	// that came back from an older copy differs from Entries; they take effect after
	// DisputedMS milliseconds.
	Disputed   []entry `cbor:"19,keyasint,omitempty"`
	DisputedMS int64   `cbor:"26,keyasint,omitempty"`
	// Stewards is a host's question about the hosts that may send to cold targets, or the
	// reader's answer to one.
	Stewards *stewards `cbor:"24,keyasint,omitempty"`
	// PauseEnds are ends of pauses of targets that a follower has observed. Pauses has
	// those of the whole fleet, for gatherers, and of a reader's followers, for readers.
	PauseEnds []stall.SharedEnd `cbor:"22,keyasint,omitempty"`
	Pauses    *pauseNews        `cbor:"23,keyasint,omitempty"`
	// Keys 20 and 21 were in use for shares of admission; hosts of earlier builds may send
	// them.

	// Limits are statements of targets that limit their request rate, or no longer do.
	// LimitDemand is the demand for services with such targets: a follower's own, to other
	// readers that of the sender and its followers, and to followers that of the fleet.
	Limits      []targetlimit.Notice        `cbor:"27,keyasint,omitempty"`
	LimitDemand []targetlimit.ServiceDemand `cbor:"28,keyasint,omitempty"`
	// Cleared are answers by which requests are no longer suspected of crashing targets.
	Cleared []crashguard.Clearance `cbor:"30,keyasint,omitempty"`
	// CrashMemoryMS is for how long, in milliseconds, the sender knows the fleet's crashes, all of
	// which it has told on the link. Hosts of earlier builds don't say.
	CrashMemoryMS int64 `cbor:"31,keyasint,omitempty"`
	// PendingCrashes are crashes that the sender itself has seen and not reported yet.
	// CrashesSettled is set once it has reported what is true of those told before.
	PendingCrashes []crashguard.CrashReport `cbor:"32,keyasint,omitempty"`
	CrashesSettled bool                     `cbor:"33,keyasint,omitempty"`
}

// position returns the sender's position in the store's history.
func (m *message) position() catalog.Position {
	return catalog.Position{Era: m.Era, Revision: m.Revision}
}

// addLeaving adds a target that first reported at since that it is leaving.
func (m *message) addLeaving(t TargetStart, since time.Time) {
	m.Leaving = append(m.Leaving, t)
	m.LeavingAgesMS = append(m.LeavingAgesMS, time.Since(since).Milliseconds())
}
