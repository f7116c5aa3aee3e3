package peer

import (
	"sync"
	"time"
)

// outMessage is a message waiting to be written. call is nil unless a reply is
// expected.
type outMessage struct {
	envelope envelope
	deadline time.Time
	call     *call
}

// outbox is the bounded queue in front of one link's writer.
type outbox struct {
	limit      int
	limitBytes int
	wake       chan struct{}

	mu    sync.Mutex
	items []outMessage
	spare []outMessage
	// bytes is the size of the payloads in items.
	bytes  int
	closed bool
}

func newOutbox(limit, limitBytes int) *outbox {
	return &outbox{limit: limit, limitBytes: limitBytes, wake: make(chan struct{}, 1)}
}

// push queues m and reports whether there was room. An empty queue has room for
// a message of any size.
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

// take returns all that is queued, valid until the next take.
func (o *outbox) take() []outMessage {
	o.mu.Lock()
	defer o.mu.Unlock()
	taken := o.items
	o.bytes = 0
	clear(o.spare)
	o.items = o.spare[:0]
	o.spare = taken
	return taken
}

// close makes every later push fail.
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
