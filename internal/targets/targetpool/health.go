package targetpool

import (
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
)

const (
	// slowFactor is the multiple of the expected time from which on an exchange
	// counts as slow.
	slowFactor = 3
	// distrustFor is the minimum time for which a report of other hosts is in
	// effect. After that time, normal requests show whether the target has
	// recovered. A random time of up to distrustFor is added, so that the hosts do
	// not return to the target all at once.
	distrustFor = 2 * time.Second
)

// recordExchange counts an exchange that ended. The caller holds the lock.
func (p *Pool) recordExchange(now time.Time, e replica.Exchange) {
	p.observePause(now, &e)
	p.stats.Ended(now, e)
	if e.Result == replica.Withdrawn {
		return
	}
	if e.Result == replica.Served && now.Sub(e.Sent)-e.Foreseen < slowFactor*e.Expected {
		p.sample.Good++
		return
	}
	if e.Excused(now) {
		return
	}
	p.sample.Bad++
}

// takeSample returns and resets the counts since the last call.
func (p *Pool) takeSample() targethealth.Sample {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.sample
	p.sample = targethealth.Sample{}
	s.Target = string(p.target.ID)
	return s
}

func (p *Pool) distrust(until time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.distrustedUntil = until
}

// TakeSamples returns the counts of exchanges since the last call, which the host
// reports to other hosts. Targets without an exchange are left out.
func (d *Directory) TakeSamples() []targethealth.Sample {
	var samples []targethealth.Sample
	for _, p := range d.all() {
		if s := p.takeSample(); s.Good+s.Bad > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// Distrust makes replica selection prefer other targets to those that other hosts
// reported as slow or failing, for a limited time. Targets without a pool are
// ignored.
func (d *Directory) Distrust(targets []string, now time.Time) {
	reported := make(map[string]bool, len(targets))
	for _, t := range targets {
		reported[t] = true
	}
	for _, p := range d.all() {
		if reported[string(p.target.ID)] {
			p.distrust(now.Add(distrustFor + rand.N(distrustFor)))
		}
	}
}

// all returns the pools of the current view.
func (d *Directory) all() []*Pool {
	d.mu.Lock()
	defer d.mu.Unlock()
	pools := make([]*Pool, 0, len(d.pools))
	for _, p := range d.pools {
		pools = append(pools, p)
	}
	return pools
}
