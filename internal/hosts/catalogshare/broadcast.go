package catalogshare

// broadcast queues a message for all followers and disconnects those whose queue
// is full. Observers get only messages without entries. The caller holds the lock.
func (h *Hub) broadcast(m *message) {
	h.multicast(m, func(f *follower) bool { return !f.observe || len(m.Entries) == 0 })
}

// multicast queues a message for the wanted followers and disconnects those whose queue
// is full. The caller holds the lock.
func (h *Hub) multicast(m *message, wanted func(*follower) bool) {
	raw := h.encoded(m)
	for f := range h.followers {
		if wanted(f) {
			h.queue(f, raw)
		}
	}
}

// encoded returns an encoded message, nil if that fails.
func (h *Hub) encoded(m *message) []byte {
	raw, err := encode(m)
	if err != nil {
		h.log.WithError(err).Error("catalog message can't be encoded")
		return nil
	}
	return raw
}

// queue queues an encoded message for a follower, or disconnects it if its queue is full.
// The caller holds the lock.
func (h *Hub) queue(f *follower, raw []byte) {
	if raw == nil {
		return
	}
	select {
	case f.out <- raw:
	default:
		h.remove(f)
	}
}
