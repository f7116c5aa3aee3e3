package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/model"
)

// Delta is the difference between two documents, as changed and removed keys.
type Delta struct {
	// From and FromDigest name the document that the delta applies to.
	From       model.Revision `cbor:"1,keyasint" json:"from"`
	FromDigest uint64         `cbor:"2,keyasint" json:"from_digest"`
	// To and ToDigest name the document that results.
	To       model.Revision             `cbor:"3,keyasint" json:"to"`
	ToDigest uint64                     `cbor:"4,keyasint" json:"to_digest"`
	Changed  map[string]json.RawMessage `cbor:"5,keyasint,omitempty" json:"changed,omitempty"`
	Removed  []string                   `cbor:"6,keyasint,omitempty" json:"removed,omitempty"`
}

// Errors of Apply.
var (
	ErrOtherBase = eris.New("config: the delta applies to another document")
	ErrDigest    = eris.New("config: the delta's result has another digest than named")
)

// Diff returns the delta that makes b of a.
func Diff(a, b *Document) *Delta {
	return DiffDigests(a, b, Digest(a.Keys), Digest(b.Keys))
}

// DiffDigests is Diff for a caller that knows the digests of both documents.
func DiffDigests(a, b *Document, digestA, digestB uint64) *Delta {
	d := &Delta{
		From: a.Revision, FromDigest: digestA, To: b.Revision, ToDigest: digestB,
		Changed: make(map[string]json.RawMessage),
	}
	for key, value := range b.Keys {
		old, ok := a.Keys[key]
		if !ok || !sameValue(old, value) {
			d.Changed[key] = value
		}
	}
	for _, key := range sortedKeys(a.Keys) {
		if _, ok := b.Keys[key]; !ok {
			d.Removed = append(d.Removed, key)
		}
	}
	return d
}

// Apply returns the document that the delta makes of a, which is not changed.
// It fails with ErrOtherBase or ErrDigest.
func (d *Delta) Apply(a *Document) (*Document, error) {
	return d.ApplyDigest(a, Digest(a.Keys))
}

// ApplyDigest is Apply for a caller that knows the digest of a. It hashes only
// the entries that the delta names.
func (d *Delta) ApplyDigest(a *Document, digestA uint64) (*Document, error) {
	if a.Revision != d.From || digestA != d.FromDigest {
		return nil, ErrOtherBase
	}
	keys := maps.Clone(a.Keys)
	if keys == nil {
		keys = make(map[string]json.RawMessage)
	}
	var h entryHasher
	digest := digestA
	drop := func(key string) {
		if old, ok := keys[key]; ok {
			digest -= h.hash(key, old)
			delete(keys, key)
		}
	}
	for key, value := range d.Changed {
		drop(key)
		digest += h.hash(key, value)
		keys[key] = value
	}
	for _, key := range d.Removed {
		drop(key)
	}
	if digest != d.ToDigest {
		return nil, ErrDigest
	}
	return &Document{Revision: d.To, Keys: keys}, nil
}
