// Package crashguard recognises requests that crash the targets that run them.
//
// A request is known by its method, host name, path and body, so that it is
// recognised when it comes again under another id. Guards of different hosts
// swap notes; how these travel is not decided here. No goroutines, no I/O; the
// time comes from the callers.
package crashguard

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// crashesToBlock is the number of separate crashes after which a request is
	// refused: one may be chance, as each request in flight is suspected.
	crashesToBlock = 2
	// sameCrash is the time within which crashes count as one, as when a part of
	// all targets fails at once or a sweep reaches many.
	sameCrash = 500 * time.Millisecond
	// rememberFor is how long a suspect is kept after its last crash.
	rememberFor = 2 * time.Minute
	// sweepEvery is how often old suspects are dropped.
	sweepEvery = 5 * time.Second
	// maxSuspects bounds the requests that are remembered.
	maxSuspects = 4096
)

// Fingerprint names a request whatever its id.
type Fingerprint uint64

// Of returns a request's fingerprint.
func Of(r *exchange.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = d.WriteString(part) // never fails
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// Note says that a target crashed while it had a request.
type Note struct {
	Request Fingerprint `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	// AgeMS is how long ago that was, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

type suspect struct {
	// crashes has the time of each crashed target's.
	crashes map[string]time.Time
	last    time.Time
}

// Guard holds the suspects. It is safe for concurrent use.
type Guard struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	count    atomic.Int64
	// swept is when old suspects were last dropped.
	swept time.Time
}

// New returns a guard without suspects.
func New() *Guard { return &Guard{suspects: map[Fingerprint]*suspect{}} }

// Add takes a note and reports whether it was new.
func (g *Guard) Add(n Note, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.swept) > sweepEvery {
		g.forget(now)
	}
	s, known := g.suspects[n.Request]
	if !known {
		if len(g.suspects) >= maxSuspects {
			return false
		}
		s = &suspect{crashes: map[string]time.Time{}}
		g.suspects[n.Request] = s
		g.count.Store(int64(len(g.suspects)))
	}
	if _, seen := s.crashes[n.Target]; seen {
		return false
	}
	at := now.Add(-time.Duration(n.AgeMS) * time.Millisecond)
	s.crashes[n.Target] = at
	if at.After(s.last) {
		s.last = at
	}
	return true
}

// Blocks reports whether a request must not be sent any more.
func (g *Guard) Blocks(r *exchange.Request, now time.Time) bool {
	if g.count.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.suspects[Of(r)]
	return known && now.Sub(s.last) < rememberFor && s.separate() >= crashesToBlock
}

// separate counts the crashes that lie apart in time.
func (s *suspect) separate() int {
	n := 0
	for _, at := range s.crashes {
		first := true
		for _, other := range s.crashes {
			if gap := at.Sub(other); gap > 0 && gap <= sameCrash {
				first = false
			}
		}
		if first {
			n++
		}
	}
	return max(n, min(len(s.crashes), 1))
}

// forget drops suspects whose last crash is long ago. The lock is held.
func (g *Guard) forget(now time.Time) {
	g.swept = now
	for fp, s := range g.suspects {
		if now.Sub(s.last) >= rememberFor {
			delete(g.suspects, fp)
		}
	}
	g.count.Store(int64(len(g.suspects)))
}
