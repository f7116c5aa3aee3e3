// Package crashguard recognises requests that crash the targets that run them.
//
// A request is identified by a fingerprint of its method, host name, path, query and
// body, so that a resubmission under another request id is recognised. Hosts
// exchange their crash reports; the transport is the caller's concern. The
// package starts no goroutines, does no I/O and takes the time as an argument.
package crashguard

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	// expiryInterval is the minimum time between removals of expired suspects.
	expiryInterval = 5 * time.Second
	// maxSuspects bounds the number of tracked requests.
	maxSuspects = 4096
	// maxReports bounds the result of Reports.
	maxReports = 512
)

// Fingerprint identifies a request by its content, independent of its id.
type Fingerprint uint64

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *exchange.Request) Fingerprint {
	d := xxhash.New()
	for _, part := range []string{r.Method, r.Host, r.URI} {
		_, _ = d.WriteString(part) // Digest.WriteString never returns an error
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(r.Body)
	return Fingerprint(d.Sum64())
}

// CrashReport describes the crash of a target that was processing a request.
type CrashReport struct {
	Request Fingerprint `cbor:"1,keyasint"`
	Target  string      `cbor:"2,keyasint"`
	// AgeMS is the time since the crash, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
	// Born distinguishes starts under one id, see catalog.Target; 0 if it is unknown.
	Born int64 `cbor:"4,keyasint,omitempty"`
	// Service is that of the target; empty in reports of earlier builds.
	Service string `cbor:"5,keyasint,omitempty"`
}

// Added is what a report changed.
type Added uint8

const (
	// Known means that the crash had been reported before or changes nothing.
	Known Added = iota
	// Recorded means that the crash is new.
	Recorded
	// Blocked means that the crash is new, and that the request is refused from now on.
	Blocked
)

// Guard tracks requests that are suspected of crashing targets. It is safe for
// concurrent use.
type Guard struct {
	mu       sync.Mutex
	suspects map[Fingerprint]*suspect
	// count is len(suspects), readable without the lock.
	count     atomic.Int64
	onCleared func(Clearance)
	// expiredAt is when expired suspects were last removed.
	expiredAt time.Time
	// knownSince is since when this host knows the crashes of the fleet; zero if it knows all.
	knownSince time.Time
	// served has requests that were answered while this host may have forgotten crashes, and
	// restarted is set for that time.
	served    servedSet
	restarted atomic.Bool
}

// New returns a guard without suspects, for a fleet that starts for the first time.
func New() *Guard { return &Guard{suspects: map[Fingerprint]*suspect{}} }

// Add records a crash and returns what it changed. While the guard is full, a new request
// replaces the suspect that matters least.
func (g *Guard) Add(report CrashReport, now time.Time) Added {
	g.mu.Lock()
	defer g.mu.Unlock()
	if now.Sub(g.expiredAt) > expiryInterval {
		g.expire(now)
	}
	s := g.suspect(report.Request)
	proven := g.proven(report.Request, s, now)
	at := now.Add(-time.Duration(report.AgeMS) * time.Millisecond)
	if !s.add(targetStart{target: report.Target, born: report.Born, service: report.Service}, at) {
		return Known
	}
	if !proven && g.proven(report.Request, s, now) {
		return Blocked
	}
	return Recorded
}

// suspect returns a suspect, a new one if there is none. The caller holds the lock.
func (g *Guard) suspect(request Fingerprint) *suspect {
	s, known := g.suspects[request]
	if known {
		return s
	}
	if len(g.suspects) >= maxSuspects {
		g.evict()
	}
	s = &suspect{}
	g.suspects[request] = s
	g.count.Store(int64(len(g.suspects)))
	return s
}

// evict removes the suspect with the least proof, of several the one whose last crash is the
// longest ago. The caller holds the lock.
func (g *Guard) evict() {
	var least Fingerprint
	var found *suspect
	for fp, s := range g.suspects {
		if found == nil || s.repeated() == found.repeated() && s.last.Before(found.last) || !s.repeated() && found.repeated() {
			least, found = fp, s
		}
	}
	delete(g.suspects, least)
}

// Reports returns what is known of all suspects, the proven ones first and of the others those
// with the latest crashes, as far as it fits into maxReports.
func (g *Guard) Reports(now time.Time) []CrashReport {
	if g.count.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	order := lo.Keys(g.suspects)
	slices.SortFunc(order, func(a, b Fingerprint) int {
		x, y := g.suspects[a], g.suspects[b]
		if x.repeated() != y.repeated() {
			return lo.Ternary(x.repeated(), -1, 1)
		}
		return y.last.Compare(x.last)
	})
	var reports []CrashReport
	for _, fp := range order {
		reports = append(reports, g.suspects[fp].reports(fp, now)...)
		if len(reports) >= maxReports {
			return reports[:maxReports]
		}
	}
	return reports
}

// Count returns the number of requests that are tracked.
func (g *Guard) Count() int { return int(g.count.Load()) }

// Blocks reports whether a request must be refused because it has crashed
// targets repeatedly.
func (g *Guard) Blocks(r *exchange.Request, now time.Time) bool {
	if g.count.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	request := FingerprintOf(r)
	s, known := g.suspects[request]
	return known && s.blocks(now, g.proven(request, s, now), g.mayBeForgotten(request, now))
}

// Suspects reports whether a target crashed while it had a request: it must run on one target
// alone until it is answered. A nil guard suspects none.
func (g *Guard) Suspects(r *exchange.Request) bool {
	if g == nil || g.count.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.suspects[FingerprintOf(r)]
	return known && len(s.crashes) > 0
}

// expire removes suspects whose last crash is long ago. The caller holds the lock.
func (g *Guard) expire(now time.Time) {
	g.expiredAt = now
	for fp, s := range g.suspects {
		if s.expired(now) {
			delete(g.suspects, fp)
		}
	}
	g.count.Store(int64(len(g.suspects)))
}
