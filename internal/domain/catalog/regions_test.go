package catalog

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// TestHomeRegionsArePartOfTheFingerprint guards against a gatherer that serves a sweep
// under other home regions than the host that passed it on, and against a changed
// fingerprint of routes without any.
func TestHomeRegionsArePartOfTheFingerprint(t *testing.T) {
	fingerprint := func(regions ...string) uint64 {
		return fingerprintOf(&Route{Name: "r", Shards: []ServiceName{"s"}, AllowedRegions: regions})
	}
	require.Equal(t, fingerprint(), fingerprint([]string{}...))
	require.NotEqual(t, fingerprint(), fingerprint("a"))
	require.NotEqual(t, fingerprint("a"), fingerprint("b"))
	require.NotEqual(t, fingerprint("ab"), fingerprint("a", "b"))
}
