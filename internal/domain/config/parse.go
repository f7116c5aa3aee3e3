package config

import (
	"encoding/json"
	"sort"
	"strings"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Document keys and key prefixes.
const (
	KeyDefaults     = "defaults"
	PrefixWorkload  = "workloads/"
	PrefixIndex     = "index/"
	PrefixTarget    = "targets/"
	PrefixException = "exceptions/"
)

// Limits of a document.
const (
	// MaxExceptions bounds the number of exceptions, to keep their list short.
	MaxExceptions = 128
	// MaxNameBytes bounds the length of names in keys.
	MaxNameBytes = 128
)

// Parse decodes and validates a complete document. The error is an *InvalidError
// that lists all problems.
func Parse(doc *Document) (*Fleet, error) { return ParseIncremental(doc, nil, Digest(doc.Keys)) }

// ParseIncremental is like Parse, for a document with a known digest that follows
// base. It reuses base's decoded and validated values of unchanged keys; the checks
// between keys run again on the whole document. base may be nil.
func ParseIncremental(doc *Document, base *Fleet, digest uint64) (*Fleet, error) {
	p := &parser{base: base, fleet: &Fleet{
		Revision:  doc.Revision,
		Digest:    digest,
		source:    doc.Keys,
		Workloads: make(map[model.WorkloadName]*Workload),
		Indexes:   make(map[model.WorkloadName]*model.Index),
		Targets:   make(map[model.TargetID]*model.Target),
	}}
	if doc.Revision == 0 {
		p.addProblem("revision", 0, "must be at least 1")
	}
	for _, key := range sortedKeys(doc.Keys) {
		p.parseKey(key, doc.Keys[key])
	}
	if _, ok := doc.Keys[KeyDefaults]; !ok {
		p.problems = append(p.problems, Problem{Path: KeyDefaults, Allowed: "must be given"})
	}
	p.crossCheck()
	if len(p.problems) > 0 {
		sort.SliceStable(p.problems, func(i, j int) bool { return p.problems[i].Path < p.problems[j].Path })
		return nil, &InvalidError{Revision: doc.Revision, Problems: p.problems}
	}
	return p.fleet, nil
}

// parser accumulates the values and problems of one document.
type parser struct {
	fleet *Fleet
	// base is the previous parsed configuration, or nil.
	base     *Fleet
	problems []Problem
}

func (p *parser) addProblem(path string, value any, allowed string) {
	p.problems = append(p.problems, Problem{Path: path, Value: formatValue(value), Allowed: allowed})
}

// decode decodes and validates one key's value and reports whether it is valid.
func (p *parser) decode(key string, raw json.RawMessage, out any) bool {
	found := decodeStrict(key, raw, out)
	if len(found) == 0 {
		found = validate(key, out)
	}
	p.problems = append(p.problems, found...)
	return len(found) == 0
}

func (p *parser) parseKey(key string, raw json.RawMessage) {
	if p.reuseUnchanged(key, raw) {
		return
	}
	if key == KeyDefaults {
		p.decode(key, raw, &p.fleet.Defaults)
		return
	}
	if key == KeyEvacuated {
		p.parseEvacuated(raw)
		return
	}
	kind, name, _ := strings.Cut(key, "/")
	if !validName(name) {
		p.addProblem(key, name, "the name after the slash must be 1 to 128 letters, digits, '.', '_', ':' or '-'")
		return
	}
	switch kind + "/" {
	case PrefixWorkload:
		if w := new(Workload); p.decode(key, raw, w) {
			p.fleet.Workloads[model.WorkloadName(name)] = w
		}
	case PrefixIndex:
		if x := new(model.Index); p.decode(key, raw, x) {
			p.fleet.Indexes[model.WorkloadName(name)] = x
		}
	case PrefixTarget:
		if t := new(model.Target); p.decode(key, raw, t) {
			p.fleet.Targets[model.TargetID(name)] = t
		}
	case PrefixException:
		if x := (Exception{Name: name}); p.decode(key, raw, &x) {
			x.expiry = parseExpiry(x.Expires)
			p.fleet.Exceptions = append(p.fleet.Exceptions, x)
		}
	default:
		p.problems = append(p.problems, Problem{Path: key, Allowed: "unknown key, allowed are defaults, workloads/NAME, index/WORKLOAD, targets/ID, exceptions/NAME and evacuated_domains"})
	}
}

func validName(name string) bool {
	if name == "" || len(name) > MaxNameBytes {
		return false
	}
	for _, r := range name {
		letter := r >= 'a' && r <= 'z' || r >= 'A' && r <= 'Z'
		if !letter && (r < '0' || r > '9') && !strings.ContainsRune("._:-", r) {
			return false
		}
	}
	return true
}

func sortedKeys[V any](m map[string]V) []string {
	keys := make([]string, 0, len(m))
	for key := range m {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	return keys
}
