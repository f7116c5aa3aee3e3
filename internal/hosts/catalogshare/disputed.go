package catalogshare

import (
	"time"

	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// setDisputed keeps the disputed evacuations of a full batch for hosts that link while
// they are disputed. The caller holds the lock.
func (h *Hub) setDisputed(b *catalogsync.Batch) {
	h.disputed = lo.Map(b.Disputed, func(c catalogsync.Change, _ int) entry {
		return entry{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
	})
	h.disputedUntil = time.Now().Add(b.DisputedFor)
}

// addDisputed adds the disputed evacuations to a full message. The caller holds the
// lock.
func (h *Hub) addDisputed(m *message) {
	left := time.Until(h.disputedUntil)
	if !m.Full || left <= 0 || len(h.disputed) == 0 {
		return
	}
	m.Disputed, m.DisputedMS = h.disputed, max(left.Milliseconds(), 1)
}
