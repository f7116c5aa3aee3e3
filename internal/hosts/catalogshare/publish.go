package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// Publish applies a batch to the hub's entries and sends it to all followers, except a
// full batch of another host that is no later than the entries: two hosts that follow each
// other would send it to and fro without end, and take it for new each time.
func (h *Hub) Publish(b catalogsync.Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Full {
		h.setDisputed(&b)
		h.entries = make(map[string]entry, len(b.Changes))
		clear(h.withheld)
	}
	known := b.Full && !b.Direct && !h.position.Before(b.Position)
	m := h.newMessage()
	for i := range b.Changes {
		m.Entries = append(m.Entries, h.applyChange(&b.Changes[i]))
	}
	if _, listed := h.entries[h.config.Key]; b.Full && !listed && h.config.Config != nil {
		m.Entries = append(m.Entries, h.applyChange(&h.config))
	}
	h.position = h.position.Later(b.Position)
	h.asOf = b.AsOf
	if known || len(h.followers) == 0 || len(m.Entries) == 0 && !b.AfterOutage {
		return
	}
	m.Full, m.AfterOutage = b.Full, b.AfterOutage
	h.addDisputed(m)
	m.Era, m.Revision = h.position.Era, h.position.Revision
	m.AgeMS = time.Since(h.asOf).Milliseconds()
	h.broadcast(m)
}

// applyChange applies a change to the hub's entries and returns its entry. The newest
// configuration takes the place of an older one, which a store that came back from an
// older copy returns. The caller holds the lock.
func (h *Hub) applyChange(c *catalogsync.Change) entry {
	if c.Config != nil && (h.config.Config == nil || c.Config.Version > h.config.Config.Version) {
		h.config = *c
	}
	if c.Kind == catalogsync.ConfigChange && h.config.Config != nil {
		c = &h.config
	}
	delete(h.withheld, c.Key)
	e := entry{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
	if c.Deleted {
		delete(h.entries, c.Key)
	} else {
		h.entries[c.Key] = e
	}
	return e
}
