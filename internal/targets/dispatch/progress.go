package dispatch

import (
	"errors"
	"time"
)

// silencePeriod is the period in which at most one exchange per slot is ended
// because the target's load report does not include it. Load reports may lag or be
// wrong; the bound limits how many working exchanges they end.
const silencePeriod = 30 * time.Second

// checkProgress asks the target, over the control connection, whether it works on
// all sub-requests that this host has had running there for at least a
// ProgressInterval. It returns errSilent if the target reports fewer, and errStalled
// if it does not respond. The load report never ends a non-idempotent exchange.
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

// checkStalled returns errStalled unless the target answered recently, since a
// health endpoint may fail on a target that works.
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
// ProgressInterval ago, so that a current load report includes them.
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
