package targetpool

import "github.com/swiftvane/swiftvane/internal/domain/catalog"

// noteReplaced finds the targets that have ended without a sign while they had requests: the view
// has a later one at the address of each. The lock is held.
func (d *Directory) noteReplaced() {
	var pending []*Pool
	for _, pool := range d.pools {
		if pool.hasLost() {
			pending = append(pending, pool)
		}
	}
	if len(pending) == 0 {
		return
	}
	latest := map[string]*catalog.Target{}
	for _, t := range d.view.Targets {
		if other := latest[t.Addr]; other == nil || t.Born > other.Born {
			latest[t.Addr] = t
		}
	}
	for _, pool := range pending {
		at := latest[pool.target.Addr]
		if at != nil && at.ID != pool.target.ID && at.Born > pool.target.Born {
			pool.settleLost(true)
		}
	}
}

// hasLost reports whether it isn't known of some calls whether the target ended under them.
func (p *Pool) hasLost() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.lost) > 0
}
