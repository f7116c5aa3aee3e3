package catalog

import "sort"

// View is what a host believes at one moment. It is never changed once published.
type View struct {
	// Config is nil until a configuration was read.
	Config *Config
	// Revision is the store's revision that the view reflects.
	Revision int64
	// ByService lists the targets that take new work, in a fixed order.
	ByService map[ServiceName][]*Target
	// Targets holds all known targets, those that leave included.
	Targets map[TargetID]*Target
}

// NewView groups targets by service.
func NewView(config *Config, revision int64, targets map[TargetID]*Target) *View {
	v := &View{Config: config, Revision: revision, ByService: map[ServiceName][]*Target{}, Targets: targets}
	for _, t := range targets {
		if !t.Leaving {
			v.ByService[t.Service] = append(v.ByService[t.Service], t)
		}
	}
	for _, list := range v.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}
