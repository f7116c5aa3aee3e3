package peer

import (
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// session is one dialed link to a remote host, from the start of the dial to
// the loss of the link, with the calls made on it.
type session struct {
	opts     *Options
	counters *counters
	outbox   *outbox

	mu      sync.Mutex
	link    *link
	pending map[uint64]*call
	nextID  uint64
	dead    bool
	// lastUse is when the last message was queued.
	lastUse time.Time
}

func newSession(opts *Options, c *counters) *session {
	return &session{
		opts: opts, counters: c, outbox: newOutbox(opts.QueueMessages, opts.QueueBytes),
		pending: make(map[uint64]*call), lastUse: time.Now(),
	}
}

// start queues a call. done runs exactly once.
func (s *session) start(kind Kind, payload cbor.RawMessage, deadline time.Time, done func(cbor.RawMessage, error)) (cancel func()) {
	c := &call{done: done}
	s.mu.Lock()
	if s.dead || len(s.pending) >= s.opts.QueueMessages {
		dead := s.dead
		s.mu.Unlock()
		done(nil, refusal(dead))
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
		c.finish(nil, refusal(false))
	}
	return func() { s.abandon(c, verdict.Cancelled, "the call was cancelled") }
}

func refusal(dead bool) *verdict.Error {
	if dead {
		return lostError(false, verdict.OwnerUnreachable, "the link to the peer is down")
	}
	return lostError(false, verdict.QueueFull, "the queue to the peer is full")
}

// remove takes a call out of the table. It returns nil if it was not there.
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

// abandon gives a call up and tells the receiver if the call may have reached it.
func (s *session) abandon(c *call, reason verdict.Reason, message string) {
	if s.remove(c.id) == nil {
		return
	}
	written := c.written
	if written {
		s.outbox.push(outMessage{envelope: envelope{Type: typeCancel, ID: c.id}})
	}
	c.finish(nil, lostError(written, reason, message))
}

// prepare runs in the writer just before a message is written. It drops a call
// that was given up and refuses one whose deadline has passed.
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

// end fails all calls that are still open. The verdict of a call is NotRun only
// if it was not given to the writer.
func (s *session) end(reason verdict.Reason, message string) {
	s.mu.Lock()
	s.dead = true
	pending := s.pending
	s.pending = make(map[uint64]*call)
	s.mu.Unlock()
	s.outbox.close()
	for _, c := range pending {
		c.finish(nil, lostError(c.written, reason, message))
	}
}

// attach makes l the session's link. It returns false if the session has ended.
func (s *session) attach(l *link) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.dead {
		return false
	}
	s.link = l
	return true
}

// currentLink returns the link, or nil while the dial goes on.
func (s *session) currentLink() *link {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.link
}

// usage returns the number of open calls and when the session was last used.
func (s *session) usage() (open int, lastUse time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.pending), s.lastUse
}

// send queues a message without an answer.
func (s *session) send(kind Kind, payload cbor.RawMessage) error {
	s.mu.Lock()
	s.lastUse = time.Now()
	dead := s.dead
	s.mu.Unlock()
	if !s.outbox.push(outMessage{envelope: envelope{Type: typeOneWay, Kind: kind, Payload: payload}}) {
		return refusal(dead)
	}
	return nil
}
