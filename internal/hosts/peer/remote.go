package peer

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// remote manages the link that this host dials to another one. It has at most one
// session at a time, and dials again, with backoff, only when there is a message to
// send.
type remote struct {
	mesh *Mesh
	id   model.HostID

	mu       sync.Mutex
	session  *session
	failures int
	retryAt  time.Time
}

// sessionForSend returns the session to send on and starts a dial if there is none.
// Messages are queued during the first dial; after a failed dial they are refused
// until a link is up again.
func (r *remote) sessionForSend() (*session, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == nil {
		if time.Now().Before(r.retryAt) || !r.dialLocked() {
			return nil, r.unreachableError()
		}
	}
	if r.failures > 0 && r.session.currentLink() == nil {
		return nil, r.unreachableError()
	}
	return r.session, nil
}

func (r *remote) unreachableError() error {
	return &verdict.Error{
		Verdict: verdict.NotRun, Reason: verdict.OwnerUnreachable, RetryAfter: r.mesh.opts.BackoffMin,
		Message: "no link to host " + string(r.id),
	}
}

// dialLocked starts a session. It returns false if the mesh is closed or the
// host's address is unknown. r.mu must be held.
func (r *remote) dialLocked() bool {
	addr, ok := r.mesh.opts.Lookup(r.id)
	if !ok {
		return false
	}
	s := newSession(&r.mesh.opts, r.mesh.counters)
	if !r.mesh.spawn(func(ctx context.Context) { r.run(ctx, s, addr) }) {
		return false
	}
	r.session = s
	return true
}

// run dials, serves the session until its link is lost, and ends it.
func (r *remote) run(ctx context.Context, s *session, addr string) {
	r.mesh.counters.dials.Inc(1)
	l, err := r.mesh.dial(ctx, r.id, addr, s)
	if err != nil {
		r.mesh.counters.dialFailures.Inc(1)
		r.mesh.opts.Log.WithError(err).WithField("peer", string(r.id)).Debug("dial failed")
		r.drop(s, true)
		s.end(verdict.OwnerUnreachable, "no link to host "+string(r.id))
		return
	}
	s.serve(ctx, l, func() { r.connected(s) })
	r.drop(s, false)
	r.mesh.counters.linksLost.Inc(1)
	s.end(verdict.PeerLinkLost, "the link to host "+string(r.id)+" was lost")
}

// connected resets the backoff after a successful dial.
func (r *remote) connected(s *session) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session == s {
		r.failures = 0
	}
}

// drop removes s as the current session. After a failed dial it starts the backoff.
func (r *remote) drop(s *session, failed bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.session != s {
		return
	}
	r.session = nil
	if !failed {
		return
	}
	r.failures++
	r.retryAt = time.Now().Add(backoff(r.failures, r.mesh.opts.BackoffMin, r.mesh.opts.BackoffMax))
}

// maxBackoffDoublings keeps the shift in backoff from overflowing.
const maxBackoffDoublings = 16

// backoff returns the pause after the given number of consecutive failures. It
// doubles from low up to high, with jitter between half and all of it.
func backoff(failures int, low, high time.Duration) time.Duration {
	pause := min(low<<min(failures-1, maxBackoffDoublings), high)
	return pause/2 + rand.N(pause/2+1)
}
