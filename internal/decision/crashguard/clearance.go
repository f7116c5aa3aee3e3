package crashguard

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// maxClearances bounds the result of Clearances.
const maxClearances = 512

// Clearance says that a target of a service has answered a request with success, which a request
// that crashes targets never gets: earlier crashes had other causes.
type Clearance struct {
	Request Fingerprint `cbor:"1,keyasint"`
	Service string      `cbor:"2,keyasint"`
	// AgeMS is the time since the answer, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint"`
}

// OnCleared sets the function that is called, without the lock, with each answer by which a
// request stops being a suspect. It must be set before the guard is used, and must not block.
func (g *Guard) OnCleared(f func(Clearance)) { g.onCleared = f }

// Watch makes answers to a request count from now on: a target of the service may have crashed
// while it had it.
func (g *Guard) Watch(r *exchange.Request, service string, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.suspect(FingerprintOf(r)).watch(service, now)
}

// Answered records that a target of a service has answered a request with success. A nil guard
// ignores it.
func (g *Guard) Answered(r *exchange.Request, service string, now time.Time) {
	if g == nil || g.count.Load() == 0 {
		return
	}
	c := Clearance{Request: FingerprintOf(r), Service: service}
	if g.Clear(c, now) && g.onCleared != nil {
		g.onCleared(c)
	}
}

// Clear records a clearance and reports whether it removed a crash.
func (g *Guard) Clear(c Clearance, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s, known := g.suspects[c.Request]
	return known && s.clear(c.Service, now.Add(-time.Duration(c.AgeMS)*time.Millisecond))
}

// Clearances returns the last answers to suspects, as far as they fit into maxClearances.
func (g *Guard) Clearances(now time.Time) []Clearance {
	if g.count.Load() == 0 {
		return nil
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	var clearances []Clearance
	for fp, s := range g.suspects {
		for service, at := range s.cleared {
			if at.IsZero() {
				continue
			}
			if len(clearances) == maxClearances {
				return clearances
			}
			clearances = append(clearances, Clearance{Request: fp, Service: service, AgeMS: now.Sub(at).Milliseconds()})
		}
	}
	return clearances
}
