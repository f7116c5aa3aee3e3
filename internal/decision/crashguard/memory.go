package crashguard

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// Restarted records that the process starts in a fleet that ran before. Until another host tells
// what it knows, requests may have crashed targets that this host knows nothing of: while its
// memory does not go back as far as suspects are kept, the first crash under a request counts for
// more, see proven and suspect.blocks.
func (g *Guard) Restarted(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.knownSince = now
	g.restarted.Store(true)
}

// Learn records that another host, whose reports have all been added, knows the crashes of the
// given last time.
func (g *Guard) Learn(memory time.Duration, now time.Time) {
	if memory <= 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	since := now.Add(-memory)
	if memory >= suspectTTL {
		since = time.Time{}
	}
	if since.Before(g.knownSince) {
		g.knownSince = since
	}
}

// Memory returns for how long this host knows the crashes of the fleet, at most as long as
// suspects are kept.
func (g *Guard) Memory(now time.Time) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	if !g.forgetful(now) {
		return suspectTTL
	}
	return now.Sub(g.knownSince)
}

// forgetful reports whether the fleet may have known crashes that this host doesn't know. The
// caller holds the lock.
func (g *Guard) forgetful(now time.Time) bool {
	return !g.knownSince.IsZero() && now.Sub(g.knownSince) < suspectTTL
}

// Served records a request that was answered with success. While the memory is short, it tells
// apart requests that ran beside one that crashes targets.
func (g *Guard) Served(r *exchange.Request, now time.Time) {
	if !g.restarted.Load() {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.forgetful(now) {
		g.served.add(FingerprintOf(r))
		return
	}
	g.served = servedSet{}
	g.restarted.Store(false)
}

// mayBeForgotten reports whether a request may be one that crashed targets before the memory begins.
// The caller holds the lock.
func (g *Guard) mayBeForgotten(request Fingerprint, now time.Time) bool {
	return g.forgetful(now) && !g.served.has(request)
}

// proven reports whether the crashes are enough to refuse a request for long. Where earlier ones may
// have been forgotten, it is enough that two targets of a service ended under this request alone. The
// caller holds the lock.
func (g *Guard) proven(request Fingerprint, s *suspect, now time.Time) bool {
	if s.repeated() || !g.mayBeForgotten(request, now) {
		return s.repeated()
	}
	return slices.ContainsFunc(s.crashes, func(c *crash) bool { return c.endedTwo() && !g.sharesCrash(s, c.at) })
}

// sharesCrash reports whether two targets of a service ended under another request too at about the
// given time: it is not known then which request is at fault. The caller holds the lock.
func (g *Guard) sharesCrash(s *suspect, at time.Time) bool {
	for _, other := range g.suspects {
		if other != s && other.endedTwoAt(at) {
			return true
		}
	}
	return false
}
