package catalog

import "slices"

// Regions tells in which regions the failure domains are. A failure domain that it
// doesn't list is in none.
type Regions struct {
	// Own is the region of this host; empty if it is unknown.
	Own      string
	ByDomain map[string]string
}

// Allows reports whether a request of the route may be sent to a target in the failure
// domain.
func (r *Regions) Allows(route *Route, domain string) bool {
	if len(route.AllowedRegions) == 0 {
		return true
	}
	region := r.ByDomain[domain]
	return region != "" && slices.Contains(route.AllowedRegions, region)
}

// AllowsHost reports whether a request of the route that a caller sent to this host may
// be passed on to a host in the failure domain.
func (r *Regions) AllowsHost(route *Route, domain string) bool {
	return r.Allows(route, domain) || r.IsOwn(domain)
}

// IsOwn reports whether the failure domain is known to be in this host's region.
func (r *Regions) IsOwn(domain string) bool { return r.Own != "" && r.ByDomain[domain] == r.Own }
