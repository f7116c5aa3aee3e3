package config

import (
	"errors"
	"testing"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// TestEvacuatedDomainsNeedReasonAndNoRepetition guards against an evacuation that nobody
// can explain later, and against one that is restored by removing one of two entries.
func TestEvacuatedDomainsNeedReasonAndNoRepetition(t *testing.T) {
	document := func(list string) *Document { return testDocument(map[string]string{KeyEvacuated: list}) }
	const good = `[{"domain":"d1","reason":"the rack gets new power"},{"domain":"later","reason":"not built yet, no targets"}]`
	fleet, err := Parse(document(good))
	require.NoError(t, err)
	require.True(t, fleet.IsEvacuated("t1"))
	require.False(t, fleet.IsEvacuated("t2"))
	for list, path := range map[string]string{
		`[{"domain":"","reason":"the rack gets new power"}]`: "evacuated_domains[0].domain",
		`[{"domain":"d1"}]`:                  "evacuated_domains[0].reason",
		`[{"domain":"d1","reason":"short"}]`: "evacuated_domains[0].reason",
		`[{"domain":"d1","reason":"long enough"},{"domain":"d1","reason":"again, and again"}]`: "evacuated_domains[1].domain",
		`{"d1":"the rack gets new power"}`:                     "evacuated_domains",
		`[{"domain":"d1","reason":"long enough","until":"x"}]`: "evacuated_domains[0].until",
	} {
		_, err := Parse(document(list))
		invalid, ok := errors.AsType[*InvalidError](err)
		require.True(t, ok, list)
		require.Contains(t, lo.Map(invalid.Problems, func(p Problem, _ int) string { return p.Path }), path, list)
	}
}

// TestEvacuationIsReusedForTargetsOfTheNextDocument guards against an unchanged list that
// is not applied to a target which appears, or moves, in the next revision.
func TestEvacuationIsReusedForTargetsOfTheNextDocument(t *testing.T) {
	list := `[{"domain":"d1","reason":"the rack gets new power"}]`
	base, err := Parse(testDocument(map[string]string{KeyEvacuated: list}))
	require.NoError(t, err)
	next := testDocument(map[string]string{KeyEvacuated: list, "targets/t2": `{"id":"t2","addr":"127.0.0.1:2","region":"r","failure_domain":"d1","slots":2,"max_connections":25}`})
	fleet, err := ParseIncremental(next, base, Digest(next.Keys))
	require.NoError(t, err)
	require.Equal(t, map[model.TargetID]struct{}{"t1": {}, "t2": {}}, fleet.EvacuatedTargets)
	withdrawn := testDocument(nil)
	fleet, err = ParseIncremental(withdrawn, fleet, Digest(withdrawn.Keys))
	require.NoError(t, err)
	require.False(t, fleet.IsEvacuated("t1"))
}
