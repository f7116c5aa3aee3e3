package verdict

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestZeroOrInvalidVerdictIsUnknown(t *testing.T) {
	var v Verdict
	require.Equal(t, Unknown, v)
	require.Equal(t, Unknown, Of(nil))
	require.Equal(t, "unknown", Verdict(250).String())
}

func TestCombineIsUnknownUnlessAllPartsAgree(t *testing.T) {
	require.Equal(t, Unknown, Combine())
	require.Equal(t, NotRun, Combine(NotRun, NotRun))
	require.Equal(t, Ran, Combine(Ran, Ran))
	require.Equal(t, Unknown, Combine(NotRun, Ran))
	require.Equal(t, Unknown, Combine(NotRun, Unknown))
}

func TestVerdictTextRoundTrip(t *testing.T) {
	for _, v := range []Verdict{Unknown, NotRun, Ran} {
		text, err := v.MarshalText()
		require.NoError(t, err)
		var back Verdict
		require.NoError(t, back.UnmarshalText(text))
		require.Equal(t, v, back)
	}
	var v Verdict
	require.Error(t, v.UnmarshalText([]byte("maybe")))
}
