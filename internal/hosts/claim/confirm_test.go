package claim

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestAtMostOnceClaimIsRefusedAfterListLease(t *testing.T) {
	f := newFleet(t, 3, 1)
	f.crash("host-1")
	f.confirmed = map[model.HostID]time.Time{"host-1": time.Now().Add(-ListLease - time.Second)}
	h := f.start("host-1", time.Now().Add(-time.Hour), hostList(1, hostIDs(3)))
	requireRefusal(t, claimAt(h, mint(t)), verdict.ClaimListStale, verdict.NotRun)

	h.confirmed.Store(time.Now().UnixMilli())
	require.Eventually(t, func() bool { return claimAt(h, mint(t)) == nil }, 30*time.Second, time.Millisecond)
}
