package config

import (
	"encoding/json"
	"fmt"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// KeyEvacuated is the key of the list of evacuated failure domains. It may be missing.
const KeyEvacuated = "evacuated_domains"

// EvacuatedDomain is a failure domain to whose targets nothing more is sent.
type EvacuatedDomain struct {
	Domain model.FailureDomain `json:"domain" validate:"required"`
	Reason string              `json:"reason" validate:"required,min=10"`
}

// parseEvacuated decodes and validates the list.
func (p *parser) parseEvacuated(raw json.RawMessage) {
	var list []EvacuatedDomain
	found := decodeStrict(KeyEvacuated, raw, &list)
	seen := map[model.FailureDomain]bool{}
	for i := range list {
		path := fmt.Sprintf("%s[%d]", KeyEvacuated, i)
		found = append(found, validate(path, &list[i])...)
		if seen[list[i].Domain] {
			found = append(found, Problem{Path: path + ".domain", Value: formatValue(string(list[i].Domain)), Allowed: "must not repeat an entry"})
		}
		seen[list[i].Domain] = true
	}
	p.problems = append(p.problems, found...)
	p.fleet.EvacuatedDomains = list
}

// indexEvacuated collects the targets in evacuated failure domains. A domain need not
// have any.
func (p *parser) indexEvacuated() {
	if len(p.fleet.EvacuatedDomains) == 0 {
		return
	}
	domains := map[model.FailureDomain]bool{}
	for _, e := range p.fleet.EvacuatedDomains {
		domains[e.Domain] = true
	}
	p.fleet.EvacuatedTargets = map[model.TargetID]struct{}{}
	for id, t := range p.fleet.Targets {
		if domains[t.FailureDomain] {
			p.fleet.EvacuatedTargets[id] = struct{}{}
		}
	}
}

// IsEvacuated reports whether the target is in an evacuated failure domain.
func (f *Fleet) IsEvacuated(id model.TargetID) bool {
	_, evacuated := f.EvacuatedTargets[id]
	return evacuated
}
