package deployment

import "github.com/swiftvane/swiftvane/platform"

// Evacuate requests the evacuation of a failure domain, as an operator does, and returns
// the revision of the write.
func (d *Deployment) Evacuate(domain string) int64 {
	return d.Store.Put(platform.EvacuationPrefix+domain, []byte("{}"))
}

// TakeBack withdraws the evacuation of a failure domain.
func (d *Deployment) TakeBack(domain string) int64 {
	return d.Store.Delete(platform.EvacuationPrefix + domain)
}

// ArrivalsIn returns the number of requests that arrived at the searchers of a failure
// domain.
func (d *Deployment) ArrivalsIn(domain string) int {
	arrived := 0
	for _, searchers := range d.Searchers {
		for _, s := range searchers {
			if d.domainOf(s.ID()) != domain {
				continue
			}
			for _, n := range s.Arrivals() {
				arrived += n
			}
		}
	}
	return arrived
}

// domainOf returns the failure domain of a searcher.
func (d *Deployment) domainOf(id string) string {
	if d.Options.Domain == nil {
		return FailureDomain
	}
	return d.Options.Domain(id)
}
