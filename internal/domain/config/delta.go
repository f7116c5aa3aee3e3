package config

import (
	"encoding/json"
	"maps"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Delta is the difference between two documents: the added, changed and removed keys.
type Delta struct {
	// From and FromDigest identify the document that the delta applies to.
	From       model.Revision `cbor:"1,keyasint" json:"from"`
	FromDigest uint64         `cbor:"2,keyasint" json:"from_digest"`
	// To and ToDigest identify the resulting document.
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

// Diff returns the delta that transforms a into b. Values that differ only in white
// space between JSON tokens count as unchanged.
func Diff(a, b *Document) *Delta {
	return DiffWithDigests(a, b, Digest(a.Keys), Digest(b.Keys))
}

// DiffWithDigests is Diff for documents whose digests are known.
func DiffWithDigests(a, b *Document, digestA, digestB uint64) *Delta {
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

// Apply returns the document that results from applying the delta to a. It does
// not modify a. The error is ErrOtherBase or ErrDigest.
func (d *Delta) Apply(a *Document) (*Document, error) { return d.ApplyWithDigest(a, Digest(a.Keys)) }

// ApplyWithDigest is Apply for a document whose digest is known. Its cost is
// proportional to the size of the delta, apart from a copy of the map of keys.
func (d *Delta) ApplyWithDigest(a *Document, digest uint64) (*Document, error) {
	if a.Revision != d.From || digest != d.FromDigest {
		return nil, ErrOtherBase
	}
	if d.digestAfter(a.Keys, digest) != d.ToDigest {
		return nil, ErrDigest
	}
	keys := maps.Clone(a.Keys)
	if keys == nil {
		keys = make(map[string]json.RawMessage)
	}
	maps.Copy(keys, d.Changed)
	for _, key := range d.Removed {
		delete(keys, key)
	}
	return &Document{Revision: d.To, Keys: keys}, nil
}
