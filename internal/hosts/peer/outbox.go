package peer

import (
	"sync"
	"time"
)

// outMessage is a message queued for writing. call is nil unless a reply is
// expected.
type outMessage struct {
	envelope envelope
	deadline time.Time
	call     *call
}

// outbox is the bounded queue of one link's writer.
type outbox struct {
	limit      int
	limitBytes int
	// wake signals the writer that the queue is no longer empty or was closed.
	wake chan struct{}

	mu    sync.Mutex
	items []outMessage
	// recycled is the slice that the last take returned, reused by the next one.
	recycled []outMessage
	// bytes is the size of the payloads in items.
	bytes  int
	closed bool
}

func newOutbox(limit, limitBytes int) *outbox {
	return &outbox{limit: limit, limitBytes: limitBytes, wake: make(chan struct{}, 1)}
}

// push queues m and reports whether it was accepted. An empty queue accepts a
// message of any size.
func (o *outbox) push(m outMessage) bool {
	o.mu.Lock()
	size := len(m.envelope.Payload)
	full := len(o.items) >= o.limit || len(o.items) > 0 && o.bytes+size > o.limitBytes
	if o.closed || full {
		o.mu.Unlock()
		return false
	}
	o.bytes += size
	o.items = append(o.items, m)
	first := len(o.items) == 1
	o.mu.Unlock()
	if first {
		o.signal()
	}
	return true
}

// take empties the queue and returns its messages. The slice is valid until the
// next take.
func (o *outbox) take() []outMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.items
	o.bytes = 0
	clear(o.recycled)
	o.items = o.recycled[:0]
	o.recycled = taken
	return taken
}

// close drops all queued messages and makes every later push fail.
func (o *outbox) close() {
	o.mu.Lock()
	o.closed = true
	o.items = nil
	o.mu.Unlock()
	o.signal()
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
