// Package target is a stand-in for a target. It answers the target protocol with
// computed content and injects faults that can be changed while it runs. It counts
// the runs of each request id and shard, so that tests can check whether a request
// ran twice.
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
	// Addr is the listen address of the target protocol.
	Addr string
	// AdminAddr is the listen address for runs and faults.
	AdminAddr      string
	Slots          int
	MaxConnections int
	// SetupCost is the delay of a new connection before its first read.
	SetupCost time.Duration
	// QueueLimit is the number of exchanges that may wait for a slot. Further ones
	// are shed.
	QueueLimit int
	// Snapshots are the snapshots that the target serves at the start.
	Snapshots []model.SnapshotID
	// Seed makes latencies and random faults repeatable.
	Seed uint64
	// Faults are in force at the start.
	Faults Faults
	// OnCrash is called on a crash and ends the process. If nil, a crash closes the
	// listener and all connections until the restart time has passed.
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
