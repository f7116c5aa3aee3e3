package catalogshare

import "time"

// knownReports returns a message with the targets that this host knows to be leaving or to limit
// their request rate and with the requests that crashed targets.
func (h *Hub) knownReports() *message {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := time.Now()
	m := &message{CrashReports: h.guard.Reports(now), Cleared: h.guard.Clearances(now), CrashMemoryMS: h.guard.Memory(now).Milliseconds()}
	h.addAllLeaving(m)
	h.addAllLimits(m)
	return m
}
