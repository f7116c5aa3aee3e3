package catalogsync

import (
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// ErrCompacted means that the history after a revision is gone and all entries
// must be read again.
var ErrCompacted = errors.New("the store no longer has this history")

// Kind says what a change is about.
type Kind uint8

const (
	// OtherChange concerns a key that a host has no use for.
	OtherChange Kind = iota
	// ConfigChange is a new configuration.
	ConfigChange
	// TargetChange is a target's entry.
	TargetChange
)

// Change is one entry as written, or its removal.
type Change struct {
	Kind     Kind
	Key      string
	Revision int64
	Deleted  bool
	// Value is the entry as written, for passing it on.
	Value []byte
	// Config and Target are set by their kinds, unless Deleted or Err is.
	Config *catalog.Config
	Target *catalog.Target
	// Err says why the entry can't be read.
	Err error
}

// Batch is the outcome of one call.
type Batch struct {
	// Full batches list all entries; what they leave out is gone.
	Full     bool
	Revision int64
	// AsOf is the time up to which the batch is complete.
	AsOf time.Time
	// Direct is set where the store itself was called.
	Direct bool
	// Returned is set on the first batch after the store was away.
	Returned bool
	Changes  []Change
}

// Source reads the store.
type Source interface {
	// Read returns all entries.
	Read() (Batch, error)
	// Watch returns what changed after revision. It waits at most wait for a
	// first change and fails with ErrCompacted if that history is gone.
	Watch(revision int64, wait time.Duration) (Batch, error)
}
