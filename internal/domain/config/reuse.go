package config

import (
	"bytes"
	"encoding/json"
	"strings"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// reuseUnchanged copies the decoded and validated value of key from the previous parsed
// configuration if the raw value did not change. It reports whether it did so.
func (p *parser) reuseUnchanged(key string, raw json.RawMessage) bool {
	if p.base == nil {
		return false
	}
	if old, ok := p.base.source[key]; !ok || !bytes.Equal(old, raw) {
		return false
	}
	if key == KeyDefaults {
		p.fleet.Defaults = p.base.Defaults
		return true
	}
	if key == KeyEvacuated {
		p.fleet.EvacuatedDomains = p.base.EvacuatedDomains
		return true
	}
	kind, name, _ := strings.Cut(key, "/")
	switch kind + "/" {
	case PrefixWorkload:
		return copyEntry(p.fleet.Workloads, p.base.Workloads, model.WorkloadName(name))
	case PrefixIndex:
		return copyEntry(p.fleet.Indexes, p.base.Indexes, model.WorkloadName(name))
	case PrefixTarget:
		return copyEntry(p.fleet.Targets, p.base.Targets, model.TargetID(name))
	case PrefixException:
		return p.reuseException(name)
	}
	return false
}

func (p *parser) reuseException(name string) bool {
	for _, x := range p.base.Exceptions {
		if x.Name == name {
			p.fleet.Exceptions = append(p.fleet.Exceptions, x)
			return true
		}
	}
	return false
}

func copyEntry[K comparable, V any](to, from map[K]V, key K) bool {
	value, ok := from[key]
	if ok {
		to[key] = value
	}
	return ok
}
