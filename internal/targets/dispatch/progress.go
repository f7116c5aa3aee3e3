package dispatch

import (
	"errors"
	"time"
)

// silencePeriod is the time in which at most as many exchanges as there are
// slots are ended because the target seems not to know them. Load endpoints lag
// or mislead; one that does costs no more than that.
const silencePeriod = 30 * time.Second

// progress asks the target, over another connection, whether it works on all
// that this host has had there for a while. It returns errSilent or errStalled
// if not. Work that must not repeat is not given up on the target's word.
func (p *pool) progress(idempotent bool) error {
	load, err := p.ctl.probe()
	now := time.Now()
	if errors.Is(err, errNoAnswer) {
		return p.stalled(now, err)
	}
	if err != nil || !idempotent {
		return nil
	}
	if int64(load.Inflight+load.Queued) < p.longRunning(now) && p.trustsSilence(now) {
		return errSilent
	}
	return nil
}

// stalled returns errStalled unless the target gave an answer a moment ago: a
// health endpoint may fail on a target that works.
func (p *pool) stalled(now time.Time, err error) error {
	p.mu.Lock()
	lately := now.Sub(p.answeredAt) < 2*p.l.limits.Progress
	p.mu.Unlock()
	if lately {
		return nil
	}
	p.connectFailed(now, err)
	return errStalled
}

// trustsSilence reports whether one more exchange may be ended as silent.
func (p *pool) trustsSilence(now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if now.Sub(p.silentSince) >= silencePeriod {
		p.silentSince = now
		p.silentCuts = 0
	}
	if p.silentCuts >= p.slots {
		return false
	}
	p.silentCuts++
	return true
}

// longRunning counts the sub-requests in exchanges that began at least a
// Progress ago, so that the target must know of them.
func (p *pool) longRunning(now time.Time) int64 {
	since := now.Add(-p.l.limits.Progress).UnixNano()
	n := int64(0)
	for _, w := range p.workers {
		if began := w.busySince.Load(); began != 0 && began <= since {
			n += w.asked.Load()
		}
	}
	return n
}
