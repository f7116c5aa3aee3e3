package gatherlink

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/test/harness"
)

// TestFramesOfTheLastLandedBuildAreRead guards against keys of frames that change their
// meaning, which would part the hosts of an upgrade from each other.
func TestFramesOfTheLastLandedBuildAreRead(t *testing.T) {
	raw, err := cbor.Marshal(harness.Fill[frame]())
	require.NoError(t, err)
	var f frame
	require.NoError(t, cbor.Unmarshal(harness.RequireCompatible(t, "testdata/landed/frame.cbor", raw), &f))
	require.Equal(t, uint64(1), f.ID)
	require.Equal(t, "text", f.Request.RequestID)
	require.NotNil(t, f.Answer.Relayed)
}
