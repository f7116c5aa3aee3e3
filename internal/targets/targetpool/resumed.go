package targetpool

import "time"

// resumed makes the target count as cold for the given time from now on, at which the
// evacuation of its failure domain has ended: it got no traffic meanwhile. It has no effect
// where the service doesn't bound the requests to its cold targets.
func (p *Pool) resumed(now time.Time, warmup time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cold.bound.bounded {
		p.extendCold(now.Add(warmup), coldByReturn, now)
	}
}
