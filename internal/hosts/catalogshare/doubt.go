package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// Doubt withholds entries of an older copy of the store from hosts that link to this one,
// and sends those that are believed again.
func (h *Hub) Doubt(d catalogsync.Doubt) {
	h.mu.Lock()
	defer h.mu.Unlock()
	for _, key := range d.Withheld {
		h.withheld[key] = d.Until
	}
	m := h.newMessage()
	for _, key := range d.Released {
		delete(h.withheld, key)
		if e, ok := h.entries[key]; ok {
			m.Entries = append(m.Entries, e)
		}
	}
	if len(m.Entries) > 0 {
		h.broadcast(m)
	}
}

// passesOn reports whether an entry may be sent to a host that starts. The caller holds the
// lock.
func (h *Hub) passesOn(key string, now time.Time) bool {
	until, withheld := h.withheld[key]
	return !withheld || !now.Before(until)
}
