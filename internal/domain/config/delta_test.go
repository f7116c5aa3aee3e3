package config

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const deltaSeed = 20261203

func documentOf(revision uint64, values map[string]int) *Document {
	doc := &Document{Revision: model.Revision(revision), Keys: make(map[string]json.RawMessage)}
	for key, value := range values {
		doc.Keys[key] = json.RawMessage(fmt.Sprintf(`{"v": %d}`, value))
	}
	return doc
}

func TestApplyingDiffYieldsNewDocument(t *testing.T) {
	params := gopter.DefaultTestParameters()
	params.Rng = rand.New(rand.NewSource(deltaSeed))
	properties := gopter.NewProperties(params)
	values := gen.MapOf(gen.OneConstOf("a", "b", "c", "d", "e"), gen.IntRange(0, 2))
	properties.Property("apply(diff(a, b), a) == b", prop.ForAll(func(x, y map[string]int) bool {
		a, b := documentOf(1, x), documentOf(2, y)
		got, err := Diff(a, b).Apply(a)
		if err != nil || got.Revision != b.Revision || len(got.Keys) != len(b.Keys) {
			return false
		}
		for key, value := range b.Keys {
			if string(got.Keys[key]) != string(value) {
				return false
			}
		}
		return Digest(got.Keys) == Digest(b.Keys) && Diff(a, b).ToDigest == Digest(got.Keys)
	}, values, values))
	properties.TestingRun(t)
}

func TestApplyRefusesWrongBaseAndWrongDigest(t *testing.T) {
	a, b, other := documentOf(1, map[string]int{"a": 1}), documentOf(2, map[string]int{"a": 2}), documentOf(1, map[string]int{"a": 3})
	_, err := Diff(a, b).Apply(other)
	require.ErrorIs(t, err, ErrOtherBase)
	d := Diff(a, b)
	d.Changed["a"] = json.RawMessage(`{"v":9}`)
	_, err = d.Apply(a)
	require.ErrorIs(t, err, ErrDigest)
}

func TestDigestIgnoresWhiteSpace(t *testing.T) {
	a := map[string]json.RawMessage{"k": json.RawMessage(`{"a": 1}`)}
	b := map[string]json.RawMessage{"k": json.RawMessage(`{"a":1}`)}
	require.Equal(t, Digest(a), Digest(b))
	require.NotEqual(t, Digest(a), Digest(map[string]json.RawMessage{"k": json.RawMessage(`{"a":2}`)}))
}
