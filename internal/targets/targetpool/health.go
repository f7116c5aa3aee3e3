package targetpool

import (
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
)

const (
	// slowFactor is how many usual times make an exchange slow.
	slowFactor = 3
	// distrustFor is how long a warning of other hosts holds at least; then some
	// requests show whether the target is well again. It is up to twice as long,
	// so that the hosts don't come back together.
	distrustFor = 2 * time.Second
)

// ended notes an exchange's end. The caller holds the lock.
func (p *Pool) ended(now time.Time, e replica.Exchange) {
	p.stats.Ended(now, e)
	if e.Result == replica.Served && now.Sub(e.Sent) < slowFactor*e.Expected {
		p.sample.Good++
		return
	}
	p.sample.Bad++
}

// takeSample returns what was counted since the last call.
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

// TakeSamples returns the exchanges since the last call, for other hosts.
func (d *Directory) TakeSamples() []targethealth.Sample {
	var samples []targethealth.Sample
	for _, p := range d.all() {
		if s := p.takeSample(); s.Good+s.Bad > 0 {
			samples = append(samples, s)
		}
	}
	return samples
}

// Distrust makes targets that other hosts found slow or failing dearer for a
// while.
func (d *Directory) Distrust(targets []string, now time.Time) {
	warned := make(map[string]bool, len(targets))
	for _, t := range targets {
		warned[t] = true
	}
	for _, p := range d.all() {
		if warned[string(p.target.ID)] {
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
