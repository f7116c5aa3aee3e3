package config

import (
	"bytes"
	"encoding/json"
	"sort"
	"strings"

	"github.com/swiftvane/swiftvane/internal/model"
)

// Names of document keys and their prefixes.
const (
	KeyDefaults     = "defaults"
	PrefixWorkload  = "workloads/"
	PrefixIndex     = "index/"
	PrefixTarget    = "targets/"
	PrefixException = "exceptions/"
)

// Limits of a document.
const (
	// MaxExceptions keeps the list of exceptions short.
	MaxExceptions = 128
	// MaxNameBytes bounds the names in keys.
	MaxNameBytes = 128
)

// Parse checks a document whole. The error is *InvalidError and lists all that
// is wrong.
func Parse(doc *Document) (*Fleet, error) {
	return ParseNext(nil, nil, doc, Digest(doc.Keys))
}

// ParseNext is Parse for a document that follows another, whose values it takes
// over where they are the same. last is the result of parsing lastDoc; both may
// be nil. digest is that of doc.
func ParseNext(last *Fleet, lastDoc, doc *Document, digest uint64) (*Fleet, error) {
	p := &parser{last: last, fleet: &Fleet{
		Revision:  doc.Revision,
		Digest:    digest,
		Workloads: make(map[model.WorkloadName]*Workload),
		Indexes:   make(map[model.WorkloadName]*model.Index),
		Targets:   make(map[model.TargetID]*model.Target),
	}}
	if doc.Revision == 0 {
		p.add("revision", 0, "must be at least 1")
	}
	for _, key := range sortedKeys(doc.Keys) {
		raw := doc.Keys[key]
		if last != nil && bytes.Equal(raw, lastDoc.Keys[key]) && p.takeOver(key) {
			continue
		}
		p.parseKey(key, raw)
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

// parser collects the values and problems of one document.
type parser struct {
	fleet *Fleet
	// last is the fleet whose values may be taken over, or nil.
	last     *Fleet
	problems []Problem
}

func (p *parser) add(path string, value any, allowed string) {
	p.problems = append(p.problems, Problem{Path: path, Value: show(value), Allowed: allowed})
}

// decode decodes and validates one key's value and reports whether it is fit.
func (p *parser) decode(key string, raw json.RawMessage, out any) bool {
	found := decodeStrict(key, raw, out)
	if len(found) == 0 {
		found = validate(key, out)
	}
	p.problems = append(p.problems, found...)
	return len(found) == 0
}

func (p *parser) parseKey(key string, raw json.RawMessage) {
	if key == KeyDefaults {
		p.decode(key, raw, &p.fleet.Defaults)
		return
	}
	kind, name, _ := strings.Cut(key, "/")
	if !validName(name) {
		p.add(key, name, "the name after the slash must be 1 to 128 letters, digits, '.', '_', ':' or '-'")
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
			x.expiry = expiry(x.Expires)
			p.fleet.Exceptions = append(p.fleet.Exceptions, x)
		}
	default:
		p.problems = append(p.problems, Problem{Path: key, Allowed: "unknown key, allowed are defaults, workloads/NAME, index/WORKLOAD, targets/ID and exceptions/NAME"})
	}
}

// takeOver uses the value that an unchanged key had before. It returns false if
// there was none.
func (p *parser) takeOver(key string) bool {
	kind, name, _ := strings.Cut(key, "/")
	ok := false
	switch kind + "/" {
	case PrefixWorkload:
		ok = carry(p.last.Workloads, p.fleet.Workloads, model.WorkloadName(name))
	case PrefixIndex:
		ok = carry(p.last.Indexes, p.fleet.Indexes, model.WorkloadName(name))
	case PrefixTarget:
		ok = carry(p.last.Targets, p.fleet.Targets, model.TargetID(name))
	}
	return ok
}

// carry copies one entry and reports whether there was one.
func carry[K comparable, V any](from, to map[K]*V, key K) bool {
	value, ok := from[key]
	if ok {
		to[key] = value
	}
	return ok
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
