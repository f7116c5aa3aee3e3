package dispatch

import (
	"errors"
	"time"
)

// silencePeriod is the period in which at most as many exchanges as the pool has
// slots are ended because the target's load report includes too few sub-requests.
// Load reports may lag or be wrong; the bound limits how many exchanges they end
// that the target still works on.
const silencePeriod = 30 * time.Second

// checkProgress asks the target, over the control connection, whether it works on
// all sub-requests that this host has had running there for at least a
// ProgressInterval. It returns errSilent if the target reports fewer, and errStalled
// if it does not respond. It never returns errSilent for an exchange that is not
// idempotent.
func (p *pool) checkProgress(idempotent bool) error {
	load, err := p.ctl.probe()
	now := time.Now()
	if errors.Is(err, errNoAnswer) {
		return p.checkStalled(now, err)
	}
	if err != nil || !idempotent {
		return nil
	}
	if int64(load.Inflight+load.Queued) < p.countLongRunning(now) && p.mayEndAsSilent(now) {
		return errSilent
	}
	return nil
}

// checkStalled returns errStalled and records that the target is unreachable, unless
// the target answered recently: the load report may fail on a target that serves
// searches.
func (p *pool) checkStalled(now time.Time, err error) error {
	p.mu.Lock()
	recent := now.Sub(p.answeredAt) < 2*p.l.limits.ProgressInterval
	p.mu.Unlock()
	if recent {
		return nil
	}
	p.connectFailed(now, err)
	return errStalled
}

// mayEndAsSilent reports whether one more exchange may be ended with errSilent, and
// counts it.
func (p *pool) mayEndAsSilent(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.silentSince) >= silencePeriod {
		p.silentSince = now
		p.silentEnds = 0
	}
	if p.silentEnds >= p.slots {
		return false
	}
	p.silentEnds++
	return true
}

// countLongRunning counts the sub-requests in exchanges that began at least a
// ProgressInterval ago. A current load report includes these.
func (p *pool) countLongRunning(now time.Time) int64 {
	since := now.Add(-p.l.limits.ProgressInterval).UnixNano()
	n := int64(0)
	for _, w := range p.workers {
		if began := w.busySince.Load(); began != 0 && began <= since {
			n += w.inExchange.Load()
		}
	}
	return n
}
