package targetpool

import (
	"errors"
	"syscall"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// noShareRetry is after which time a caller may try again whose host has no share of a cold
// target: another host may have one, or this one may have got one.
const noShareRetry = time.Second

// coldCause is why a target counts as cold.
type coldCause string

// The causes for which a target counts as cold.
const (
	coldByEntry  coldCause = "entry"
	coldByReply  coldCause = "reply"
	coldByStart  coldCause = "start"
	coldByReturn coldCause = "evacuation_ended"
)

// coldBound is the bound on the requests to a service's cold targets. The zero value is none.
type coldBound struct {
	bounded bool
	// permits is the number of requests in any one second that the hosts with lists of one
	// reader share.
	permits int
	// warmup is how long a target is cold after a start.
	warmup time.Duration
	// shard is set for the shards of sweeps.
	shard bool
}

// coldState is what a pool knows of its target's warm-up. The pool's lock guards it.
type coldState struct {
	bound coldBound
	// revision is the revision of the entry whose warm-up is taken into account.
	revision int64
	sent     warmup.Window
	// share is this host's share by the list, which is kept since it takes some hashing.
	share int
	list  *warmup.List
	// refused is set since the last dial found no process at the target's address.
	refused bool
	// shared belongs to the directory; nil for a pool without one, which has no bound.
	shared *coldTargets
}

// setBound sets the bound of the target's service. entry is the target's current entry, and
// first is set for a new pool.
func (p *Pool) setBound(bound coldBound, entry *catalog.Target, first bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	unread := first || !p.cold.bound.bounded || entry.Revision != p.cold.revision
	p.cold.bound, p.cold.revision, p.cold.list = bound, entry.Revision, nil
	if !bound.bounded {
		p.coldUntil.Store(nil)
		return
	}
	if first {
		p.extendCold(warmup.ColdAfterStart(bornAt(entry), now, bound.warmup), coldByStart, now)
	}
	if unread {
		p.extendCold(entry.WarmUntil, coldByEntry, now)
	}
	if held := p.takeHeld(now); len(held) > 0 {
		go endAll(held, ErrWarming, now)
	}
}

// bornAt returns the start time that a target states, zero if it states none.
func bornAt(t *catalog.Target) time.Time {
	if t.Born == 0 {
		return time.Time{}
	}
	return time.UnixMilli(t.Born)
}

// extendCold makes the target count as cold until the given time at least. The caller holds
// the lock.
func (p *Pool) extendCold(until time.Time, cause coldCause, now time.Time) {
	known := p.coldUntil.Load()
	if !until.After(now) || known != nil && !until.After(*known) {
		return
	}
	p.coldUntil.Store(&until)
	if known == nil || !known.After(now) {
		p.cold.shared.begun(p, until, cause, now)
	}
}

// noteDial records the outcome of a dial. A target that accepts a connection after there was
// no process at its address has started again, before its entry says so. The caller holds the
// lock.
func (p *Pool) noteDial(err error, now time.Time) {
	if err != nil {
		p.cold.refused = p.cold.refused || errors.Is(err, syscall.ECONNREFUSED)
		return
	}
	if p.cold.refused && p.cold.bound.bounded {
		p.extendCold(now.Add(p.cold.bound.warmup), coldByStart, now)
	}
	p.cold.refused = false
}

// noteWarmup records for how long a reply says that the target is cold, and returns the
// waiting calls that may not be sent any more. The caller holds the lock and ends them after
// releasing it.
func (p *Pool) noteWarmup(reply *exchange.Reply, now time.Time) []*Call {
	if !reply.StatesWarmup || reply.OtherTarget || !p.cold.bound.bounded {
		return nil
	}
	if reply.Warmup <= 0 {
		p.coldUntil.Store(nil)
		return nil
	}
	until := now.Add(reply.Warmup)
	if known := p.coldUntil.Load(); known != nil && known.After(now) {
		p.coldUntil.Store(&until)
		return nil
	}
	p.extendCold(until, coldByReply, now)
	return p.takeHeld(now)
}

// Warming reports whether the target is still slow after a start.
func (p *Pool) Warming(now time.Time) bool {
	return now.Before(p.target.WarmUntil) || p.isCold(now)
}

// isCold reports whether the requests to the target are bounded since it is cold. It needs
// no lock.
func (p *Pool) isCold(now time.Time) bool {
	until := p.coldUntil.Load()
	return until != nil && now.Before(*until)
}

// coldHeld returns the time until one more call may be sent to a cold target, 0 if one may
// now. Calls that wait already go first. The caller holds the lock.
func (p *Pool) coldHeld(now time.Time) time.Duration {
	if !p.isCold(now) {
		return 0
	}
	share := p.cold.shared.share(p, now)
	if share > p.cold.sent.Count(now)+len(p.waiting) {
		return 0
	}
	left := p.coldUntil.Load().Sub(now)
	if share <= len(p.waiting) {
		return min(left, noShareRetry)
	}
	return min(left, p.cold.sent.Wait(share-len(p.waiting), now))
}

// countCold counts a call that is sent to a cold target. The caller holds the lock.
func (p *Pool) countCold(now time.Time) {
	if p.isCold(now) {
		p.cold.sent.Add(now)
	}
}

// takeHeld removes and returns the last waiting calls, as many as may not be sent to a cold
// target now: they go to another replica. The caller holds the lock.
func (p *Pool) takeHeld(now time.Time) []*Call {
	if len(p.waiting) == 0 || !p.isCold(now) {
		return nil
	}
	keep := max(p.cold.shared.share(p, now)-p.cold.sent.Count(now), 0)
	taken := p.takeLast(len(p.waiting) - keep)
	p.cold.shared.heldBack(len(taken))
	return taken
}
