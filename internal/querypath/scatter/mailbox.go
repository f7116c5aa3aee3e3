package scatter

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
)

// reply is a sub-answer to the given attempt for the given shard.
type reply struct {
	shard, attempt int
	answer         *subquery.Answer
}

// mailbox is a queue of replies from dispatch goroutines to one query's event
// loop. Posting never waits for the loop.
type mailbox struct {
	mu      sync.Mutex
	replies []reply
	closed  bool
	// ready holds one element while there may be replies to take.
	ready chan struct{}
}

func newMailbox() *mailbox { return &mailbox{ready: make(chan struct{}, 1)} }

// post adds a reply. It reports false once the mailbox is closed.
func (m *mailbox) post(r reply) bool {
	m.mu.Lock()
	if m.closed {
		m.mu.Unlock()
		return false
	}
	m.replies = append(m.replies, r)
	first := len(m.replies) == 1
	m.mu.Unlock()
	if first {
		select {
		case m.ready <- struct{}{}:
		default:
		}
	}
	return true
}

// take returns the queued replies and reuses spare as the next buffer.
func (m *mailbox) take(spare []reply) []reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	taken := m.replies
	m.replies = spare[:0]
	return taken
}

// close refuses further replies and returns those still queued.
func (m *mailbox) close() []reply {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.closed = true
	return m.replies
}
