package targetpool

import (
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// held returns the time until one more call may be sent to a target that is cold or limits
// its rate, 0 if one may now, and the error of a call that may not. The caller holds the lock.
func (p *Pool) held(now time.Time) (time.Duration, error) {
	cold, limited := p.coldHeld(now), p.limitHeld(now)
	switch {
	case limited > cold:
		return limited, ErrLimited
	case cold > 0:
		return cold, ErrWarming
	default:
		return 0, nil
	}
}

// loadHeld returns the time until one more call may be sent, 0 if one may now, and whether the
// target's rate limit is the reason that it may not. The caller holds the lock.
func (p *Pool) loadHeld(now time.Time) (left time.Duration, limited bool) {
	left, err := p.held(now)
	return left, errors.Is(err, ErrLimited)
}

// countHeld counts a call that was not sent since this host had no permit. The caller holds
// the lock.
func (p *Pool) countHeld(reason error) {
	if errors.Is(reason, ErrLimited) {
		p.rateLimit.shared.held.Inc(1)
		return
	}
	p.cold.shared.heldBack(1)
}

// Permit is when a host may send a request to one of a group's targets that are cold or limit
// their rate. The zero value is no such target.
type Permit struct {
	Left time.Duration
	// Limited is set if the target limits its rate.
	Limited bool
}

// NextPermit returns the first permit for one of the group's allowed targets that this host
// may not send to now.
func (g *Group) NextPermit(now time.Time, allowed func(*catalog.Target) bool) Permit {
	var next Permit
	for i := range len(g.Pools) + len(g.Spare) {
		p, _ := g.At(i)
		if !allowed(p.target) {
			continue
		}
		load := p.Load(now)
		if load.Held > 0 && (next.Left == 0 || load.Held < next.Left) {
			next = Permit{Left: load.Held, Limited: load.Limited}
		}
	}
	return next
}
