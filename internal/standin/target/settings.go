// Package target is a stand-in for a searcher: it answers the target protocol
// with computed content and has faults that can be switched on while it runs.
// Each run of each request id and shard is counted, so that tests can tell
// whether a request ran twice.
package target

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Defaults of Settings.
const (
	DefaultSlots          = 2
	DefaultMaxConnections = 25
	DefaultQueueLimit     = 256
	DefaultRestart        = 500 * time.Millisecond
)

// Settings describe one stand-in target.
type Settings struct {
	ID model.TargetID
	// Addr is where the target protocol is served.
	Addr string
	// AdminAddr is where runs and faults are served.
	AdminAddr      string
	Slots          int
	MaxConnections int
	// SetupCost is how long a new connection waits before its first exchange.
	SetupCost time.Duration
	// QueueLimit is the exchanges that may wait for a slot; more are shed.
	QueueLimit int
	// Snapshots are held at the start.
	Snapshots []model.SnapshotID
	// Seed makes latencies and random faults repeatable.
	Seed uint64
	// Faults are switched on at the start.
	Faults Faults
	// OnCrash ends the process; nil means that a crash closes the listener and
	// all connections until the restart time has passed.
	OnCrash func()
}

func (s *Settings) setDefaults() {
	if s.Addr == "" {
		s.Addr = "127.0.0.1:0"
	}
	if s.AdminAddr == "" {
		s.AdminAddr = "127.0.0.1:0"
	}
	if s.Slots == 0 {
		s.Slots = DefaultSlots
	}
	if s.MaxConnections == 0 {
		s.MaxConnections = DefaultMaxConnections
	}
	if s.QueueLimit == 0 {
		s.QueueLimit = DefaultQueueLimit
	}
	if len(s.Snapshots) == 0 {
		s.Snapshots = []model.SnapshotID{1}
	}
}
