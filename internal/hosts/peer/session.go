package peer

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// session is one dialed link to a remote host and the calls made on it. It lasts
// from the start of the dial to the loss of the link.
type session struct {
	opts     *Options
	counters *counters
	outbox   *outbox

	mu      sync.Mutex
	link    *link
	pending map[uint64]*call
	nextID  uint64
	ended   bool
	// lastUse is when start or send last ran.
	lastUse time.Time
}

func newSession(opts *Options, c *counters) *session {
	return &session{
		opts: opts, counters: c, outbox: newOutbox(opts.QueueMessages, opts.QueueBytes),
		pending: make(map[uint64]*call), lastUse: time.Now(),
	}
}

// start queues a call and returns a function that cancels it. done runs exactly
// once, possibly before start returns.
func (s *session) start(kind Kind, payload cbor.RawMessage, deadline time.Time, done func(cbor.RawMessage, error)) (cancel func()) {
	c := &call{done: done}
	s.mu.Lock()
	if s.ended || len(s.pending) >= s.opts.QueueMessages {
		ended := s.ended
		s.mu.Unlock()
		done(nil, enqueueError(ended))
		return func() {}
	}
	s.nextID++
	c.id = s.nextID
	s.pending[c.id] = c
	s.lastUse = time.Now()
	if !deadline.IsZero() {
		c.timer = time.AfterFunc(time.Until(deadline), func() {
			s.abandon(c, verdict.DeadlinePassed, "the deadline passed before the peer answered")
		})
	}
	s.mu.Unlock()
	m := outMessage{envelope: envelope{Type: typeCall, ID: c.id, Kind: kind, Payload: payload}, deadline: deadline, call: c}
	if !s.outbox.push(m) && s.remove(c.id) != nil {
		c.finish(nil, enqueueError(false))
	}
	return func() { s.abandon(c, verdict.Cancelled, "the call was cancelled") }
}

// enqueueError returns the error of a message that could not be queued: the session
// has ended or its queue is full.
func enqueueError(ended bool) *verdict.Error {
	if ended {
		return transportError(false, verdict.OwnerUnreachable, "the link to the peer is down")
	}
	return transportError(false, verdict.QueueFull, "the queue to the peer is full")
}

// remove deletes a pending call and returns it, or nil if it is not pending.
func (s *session) remove(id uint64) *call {
	s.mu.Lock()
	defer s.mu.Unlock()
	c, ok := s.pending[id]
	if !ok {
		return nil
	}
	delete(s.pending, id)
	return c
}

// abandon fails a pending call. If the call was already passed to the writer, it
// sends a cancel to the receiver.
func (s *session) abandon(c *call, reason verdict.Reason, message string) {
	if s.remove(c.id) == nil {
		return
	}
	written := c.written
	if written {
		s.outbox.push(outMessage{envelope: envelope{Type: typeCancel, ID: c.id}})
	}
	c.finish(nil, transportError(written, reason, message))
}

// prepare runs in the writer just before a message is written and reports whether
// to write it. It drops a call that is no longer pending, and fails one whose
// deadline has passed.
func (s *session) prepare(m *outMessage, now time.Time) bool {
	if m.call == nil {
		return true
	}
	expired := !m.deadline.IsZero() && !now.Before(m.deadline)
	s.mu.Lock()
	_, live := s.pending[m.call.id]
	if live && !expired {
		m.call.written = true
	}
	s.mu.Unlock()
	if live && expired {
		s.abandon(m.call, verdict.DeadlinePassed, "the deadline passed before the call was sent")
	}
	return live && !expired
}

// receive handles one envelope from the peer.
func (s *session) receive(e *envelope) {
	s.counters.messagesReceived.Inc(1)
	if e.Type != typeReply && e.Type != typeError {
		return
	}
	c := s.remove(e.ID)
	if c == nil {
		s.counters.lateReplies.Inc(1)
		return
	}
	if e.Type == typeError {
		c.finish(nil, decodeError(e.Payload))
		return
	}
	c.finish(e.Payload, nil)
}

// end fails all pending calls. The verdict of a call is NotRun only if it was not
// passed to the writer.
func (s *session) end(reason verdict.Reason, message string) {
	s.mu.Lock()
	s.ended = true
	pending := s.pending
	s.pending = make(map[uint64]*call)
	s.mu.Unlock()
	s.outbox.close()
	for _, c := range pending {
		c.finish(nil, transportError(c.written, reason, message))
	}
}

// attach makes l the session's link. It returns false if the session has ended.
func (s *session) attach(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.ended {
		return false
	}
	s.link = l
	return true
}

// currentLink returns the link, or nil while the dial is in progress.
func (s *session) currentLink() *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

// usage returns the number of pending calls and when the session was last used.
func (s *session) usage() (pending int, lastUse time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending), s.lastUse
}

// send queues a one-way message.
func (s *session) send(kind Kind, payload cbor.RawMessage) error {
	s.mu.Lock()
	s.lastUse = time.Now()
	ended := s.ended
	s.mu.Unlock()
	if !s.outbox.push(outMessage{envelope: envelope{Type: typeOneWay, Kind: kind, Payload: payload}}) {
		return enqueueError(ended)
	}
	return nil
}
