package catalogshare

import (
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
)

// TestCountsOfLostReaderExpire covers a follower that has lost its reader: the reader's
// count of the fleet must not stand for good.
func TestCountsOfLostReaderExpire(t *testing.T) {
	log, _ := test.NewNullLogger()
	h := NewHub(gathering.Member{FailureDomain: "z-1"}, crashguard.New(), log)
	h.recordUpstream(&message{Hosts: 59, Domains: map[string]int{"z-1": 30, "z-2": 29}, Settled: true})
	n, settled := h.Hosts()
	require.Equal(t, 59, n)
	require.True(t, settled)
	h.upstream.at = time.Now().Add(-2 * countTTL)
	n, settled = h.Hosts()
	require.Equal(t, 1, n)
	require.False(t, settled)
	require.Equal(t, map[string]int{"z-1": 1}, h.Domains())
}
