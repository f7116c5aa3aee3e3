package catalog

import "sort"

// View is a host's snapshot of the configuration and the targets. It is immutable
// once published.
type View struct {
	// Config is nil until a configuration has been read.
	Config *Config
	// Position is the store position that the view reflects.
	Position Position
	// ByService lists the targets that take new work, sorted by ID. It leaves out leaving
	// targets and those in evacuated failure domains.
	ByService map[ServiceName][]*Target
	// Targets holds all known targets, including leaving and evacuated ones.
	Targets map[TargetID]*Target
	// Evacuations holds the evacuations by failure domain. A domain need not have
	// targets.
	Evacuations map[string]Evacuation
}

// NewView returns a view of targets, grouped by service. The view keeps the map,
// which must not change afterwards.
func NewView(config *Config, position Position, targets map[TargetID]*Target, evacuations ...Evacuation) *View {
	v := &View{Config: config, Position: position, ByService: map[ServiceName][]*Target{}, Targets: targets, Evacuations: map[string]Evacuation{}}
	for _, e := range evacuations {
		v.Evacuations[e.Domain] = e
	}
	for _, t := range targets {
		if !t.Leaving && !v.Evacuated(t) {
			v.ByService[t.Service] = append(v.ByService[t.Service], t)
		}
	}
	for _, list := range v.ByService {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return v
}

// Evacuated reports whether the target is in an evacuated failure domain.
func (v *View) Evacuated(t *Target) bool {
	_, evacuated := v.Evacuations[t.FailureDomain]
	return evacuated
}
