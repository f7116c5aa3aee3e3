package targetpool

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/slowstart"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// returnMemory is how long a directory remembers that an evacuation ended, for targets
// that get a pool after it. It is longer than any warm-up in use.
const returnMemory = 10 * time.Minute

// evacuations is what a directory remembers of evacuations. It is guarded by the
// directory's lock.
type evacuations struct {
	// domains are the failure domains that were evacuated in the last view.
	domains map[string]catalog.Evacuation
	// endedAt is when the last evacuation of a failure domain ended on this host.
	endedAt map[string]time.Time
	// targets is the number of known targets in each evacuated failure domain, pools has
	// those of them that this host has or had calls for.
	targets map[string]int
	pools   map[string][]*Pool
}

// settleEvacuations lets the existing pools follow the view's evacuations. The lock is
// held.
func (d *Directory) settleEvacuations(now time.Time) {
	v := d.view
	if len(v.Evacuations) == 0 && len(d.evacuations.domains) == 0 {
		return
	}
	d.noteEvacuations(now)
	d.evacuations.targets, d.evacuations.pools = map[string]int{}, map[string][]*Pool{}
	for id, t := range v.Targets {
		p, evacuated := d.pools[id], v.Evacuated(t)
		if evacuated {
			d.evacuations.targets[t.FailureDomain]++
		}
		switch {
		case p == nil:
		case evacuated:
			p.evacuate(now)
			d.evacuations.pools[t.FailureDomain] = append(d.evacuations.pools[t.FailureDomain], p)
		case p.isEvacuated():
			p.resume(now, d.returnPeriod(t.Service))
			p.resumed(now, p.cold.bound.warmup)
		}
	}
}

// noteEvacuations records and counts the evacuations that began or ended. The lock is
// held.
func (d *Directory) noteEvacuations(now time.Time) {
	scope, last := scopeOf(&d.opts), d.evacuations.domains
	maps.DeleteFunc(d.evacuations.endedAt, func(_ string, at time.Time) bool { return now.Sub(at) > returnMemory })
	for domain := range d.view.Evacuations {
		if _, known := last[domain]; !known {
			scope.Counter("evacuations_seen").Inc(1)
			delete(d.evacuations.endedAt, domain)
		}
	}
	for domain := range last {
		if _, still := d.view.Evacuations[domain]; !still {
			scope.Counter("evacuations_ended").Inc(1)
			d.evacuations.endedAt[domain] = now
		}
	}
	d.evacuations.domains = d.view.Evacuations
}

// returnGradually prepares a new pool of a target whose failure domain was evacuated
// shortly before. The lock is held.
func (d *Directory) returnGradually(p *Pool, now time.Time) {
	ended, ok := d.evacuations.endedAt[p.target.FailureDomain]
	if !ok {
		return
	}
	p.resumedAt = ended
	if period := d.returnPeriod(p.target.Service); now.Sub(ended) < period {
		p.beginReturn(ended, period)
	}
}

// returnPeriod returns the time over which load returns to targets of a service.
func (d *Directory) returnPeriod(name catalog.ServiceName) time.Duration {
	if d.view.Config == nil {
		return slowstart.MinPeriod
	}
	return slowstart.Period(d.view.Config.Services[name].Warmup)
}

// addEvacuated adds the evacuated targets to their groups. The lock is held.
func (d *Directory) addEvacuated(groups map[catalog.ServiceName]*Group) {
	if len(d.view.Evacuations) == 0 {
		return
	}
	for _, t := range d.view.Targets {
		if t.Leaving || !d.view.Evacuated(t) {
			continue
		}
		if groups[t.Service] == nil {
			groups[t.Service] = d.group(t.Service)
		}
		groups[t.Service].Evacuated = append(groups[t.Service].Evacuated, t)
	}
}

func (p *Pool) isEvacuated() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.evacuated
}

// HasEvacuated reports whether allowed targets of the group are evacuated, also if they
// were not when the group was made.
func (g *Group) HasEvacuated(allowed func(*catalog.Target) bool) bool {
	for i := range len(g.Pools) + len(g.Spare) {
		if p, _ := g.At(i); allowed(p.target) && p.isEvacuated() {
			return true
		}
	}
	return slices.ContainsFunc(g.Evacuated, allowed)
}

// EvacuationStatus is the state of one evacuation on this host.
type EvacuationStatus struct {
	catalog.Evacuation
	// Targets is the number of known targets in the failure domain, InFlight that of
	// calls of this host that they have not answered yet.
	Targets  int
	InFlight int
}

// Evacuations returns the evacuations of the current view, by failure domain.
func (d *Directory) Evacuations() []EvacuationStatus {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all []EvacuationStatus
	for domain, e := range d.view.Evacuations {
		s := EvacuationStatus{Evacuation: e, Targets: d.evacuations.targets[domain]}
		for _, p := range d.evacuations.pools[domain] {
			s.InFlight += p.inFlight()
		}
		all = append(all, s)
	}
	slices.SortFunc(all, func(a, b EvacuationStatus) int { return cmp.Compare(a.Domain, b.Domain) })
	return all
}
