package catalogsync

import (
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// modelStore is a store in memory that can come back from an older copy.
type modelStore struct {
	position catalog.Position
	entries  map[string]Change
	history  []Change
	// copies are earlier states, by age.
	copies []modelCopy
}

type modelCopy struct {
	revision int64
	entries  map[string]Change
	history  []Change
}

func (s *modelStore) write(c Change) {
	s.copies = append(s.copies, modelCopy{revision: s.position.Revision, entries: cloneEntries(s.entries), history: slices.Clone(s.history)})
	s.position.Revision++
	c.Revision = s.position.Revision
	s.history = append(s.history, c)
	if c.Deleted {
		delete(s.entries, c.Key)
	} else {
		s.entries[c.Key] = c
	}
}

// restore goes back by up to three writes.
func (s *modelStore) restore(back int) {
	at := len(s.copies) - 1 - back%3
	if at < 0 {
		return
	}
	older := s.copies[at]
	s.copies = s.copies[:at]
	s.position = inEra(s.position.Era+1, older.revision)
	s.entries, s.history = cloneEntries(older.entries), slices.Clone(older.history)
}

func (s *modelStore) read() Batch {
	b := Batch{Full: true, Direct: true, Position: s.position}
	for _, c := range s.entries {
		b.Changes = append(b.Changes, c)
	}
	return b
}

func (s *modelStore) watch(after catalog.Position) (Batch, error) {
	if after.Revision > s.position.Revision {
		return Batch{}, &CompactedError{Era: s.position.Era}
	}
	b := Batch{Direct: true, Position: s.position}
	for _, c := range s.history {
		if c.Revision > after.Revision {
			b.Changes = append(b.Changes, c)
		}
	}
	return b, nil
}

func cloneEntries(from map[string]Change) map[string]Change {
	to := make(map[string]Change, len(from))
	for key, c := range from {
		to[key] = c
	}
	return to
}
