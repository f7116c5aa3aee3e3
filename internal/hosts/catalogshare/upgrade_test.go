package catalogshare

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/test/harness"
)

// TestMessagesOfTheLastLandedBuildAreRead guards against keys of messages that change their
// meaning, which would part the hosts of an upgrade from each other.
func TestMessagesOfTheLastLandedBuildAreRead(t *testing.T) {
	raw, err := encode(harness.Fill[message]())
	require.NoError(t, err)
	m, err := decode(harness.RequireCompatible(t, "testdata/landed/message.cbor", raw))
	require.NoError(t, err)
	require.True(t, m.Full)
	require.Len(t, m.Entries, 1)
	require.NotEmpty(t, m.Gatherers)
	require.NotEmpty(t, m.Limits)
}
