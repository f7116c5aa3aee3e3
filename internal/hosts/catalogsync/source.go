package catalogsync

import (
	"errors"
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// ErrCompacted reports that the store does not have the changes after the given
// position; all entries must be read again.
var ErrCompacted = errors.New("the store does not have this history")

// CompactedError is ErrCompacted with the era of the store that reported it.
type CompactedError struct{ Era int64 }

// Error implements error.
func (e *CompactedError) Error() string { return fmt.Sprintf("%s, in era %d", ErrCompacted, e.Era) }

// Is makes the error match ErrCompacted.
func (e *CompactedError) Is(target error) bool { return target == ErrCompacted }

// Kind is the type of entry that a change concerns.
type Kind uint8

const (
	// OtherChange concerns a key that hosts ignore.
	OtherChange Kind = iota
	// ConfigChange concerns the configuration.
	ConfigChange
	// TargetChange concerns a target's entry.
	TargetChange
	// EvacuationChange concerns the evacuation of a failure domain.
	EvacuationChange
)

// Change is one entry as written, or its removal.
type Change struct {
	Kind     Kind
	Key      string
	Revision int64
	Deleted  bool
	// Value is the entry as written, for forwarding to other hosts.
	Value []byte
	// Config is set for a ConfigChange and Target for a TargetChange, unless
	// Deleted or Err is set.
	Config *catalog.Config
	Target *catalog.Target
	// Domain is the failure domain of an EvacuationChange.
	Domain string
	// Err is the decoding error of an unreadable entry.
	Err error
}

// Batch is the result of one call to a Source.
type Batch struct {
	// Full batches list all entries; any other entry has been removed.
	Full     bool
	Position catalog.Position
	// AsOf is the time up to which the batch is complete.
	AsOf time.Time
	// Direct is set if the batch comes from the store itself.
	Direct bool
	// AfterOutage is set on the first batch after a store outage, also one that ended
	// with an older copy.
	AfterOutage bool
	Changes     []Change
	// Disputed, in a full batch, has the evacuations and withdrawals by which a store
	// that came back from an older copy differs from Changes. They take effect after
	// DisputedFor.
	Disputed    []Change
	DisputedFor time.Duration
}

// Source reads the store.
type Source interface {
	// Read returns all entries as a full batch. known is the latest position that the
	// host has seen; answers of an earlier era may be left out or returned.
	Read(known catalog.Position) (Batch, error)
	// Watch returns the changes after the position. It waits at most wait for a first
	// change and fails with ErrCompacted if that history is gone. A batch of another
	// era does not continue from the position.
	Watch(after catalog.Position, wait time.Duration) (Batch, error)
}
