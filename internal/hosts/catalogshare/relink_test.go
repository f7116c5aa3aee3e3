package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestHostWithoutFirstLinkDialsAgainSoon guards against hosts that don't know the fleet's
// size for seconds after a restart of all hosts, since the first reader that they dialed
// had no entries yet. A host that had a link waits longer, so that a reader that is lost
// isn't dialed by all its followers together.
func TestHostWithoutFirstLinkDialsAgainSoon(t *testing.T) {
	source, _ := newSource()
	for linked, longest := range map[bool]time.Duration{false: unlinkedRetryPause * 3 / 2, true: linkRetryPause * 3 / 2} {
		source.linked = linked
		began := time.Now()
		for range 100 {
			source.delayDial()
			require.False(t, source.retryAt.After(time.Now().Add(longest)), "linked %t", linked)
			require.True(t, source.retryAt.After(began.Add(longest/3-time.Millisecond)), "linked %t", linked)
		}
	}
}
