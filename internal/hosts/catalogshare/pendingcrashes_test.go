package catalogshare

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// pendingReports are two separate crashes under the crashing request.
func pendingReports() []crashguard.CrashReport {
	request := crashguard.FingerprintOf(crashing)
	return []crashguard.CrashReport{{Request: request, Target: "t-1", AgeMS: 900}, {Request: request, Target: "t-2"}}
}

// TestCrashesThatALostHostHadNotSettledAreReported guards against a request that goes on crashing
// targets since the hosts that saw it are lost before they report it.
func TestCrashesThatALostHostHadNotSettledAreReported(t *testing.T) {
	t.Run("a follower", func(t *testing.T) {
		reader, addr, _ := serve(t)
		publishOne(reader)
		follower, _ := newSource(addr)
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		follower.SendPendingCrashes(pendingReports())
		require.Never(t, reader.blocksCrashing, 100*time.Millisecond, 10*time.Millisecond)
		follower.dropLink()
		require.Eventually(t, reader.blocksCrashing, eventuallyTimeout, time.Millisecond)
	})
	t.Run("a reader", func(t *testing.T) {
		reader, addr, end := serve(t)
		publishOne(reader)
		follower, _ := newSource(addr)
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		other, _ := newSource(addr, "self")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go other.Observe(ctx)
		require.Eventually(t, func() bool { return followers(reader) == 2 }, eventuallyTimeout, time.Millisecond)
		(&Source{opts: Options{Hub: reader}}).SendPendingCrashes(pendingReports())
		_, err = follower.Watch(at(7), time.Second)
		require.NoError(t, err)
		require.False(t, follower.opts.Hub.blocksCrashing())
		end()
		require.Eventually(t, other.opts.Hub.blocksCrashing, eventuallyTimeout, time.Millisecond)
		follower.dropLink()
		require.True(t, follower.opts.Hub.blocksCrashing())
	})
}

// TestSettledCrashesAreNotReportedAgain guards against requests that are refused for crashes which
// their host has found to be none, once that host stops.
func TestSettledCrashesAreNotReportedAgain(t *testing.T) {
	reader, addr, _ := serve(t)
	publishOne(reader)
	follower, _ := newSource(addr)
	_, err := follower.Read(catalog.Position{})
	require.NoError(t, err)
	follower.SendPendingCrashes(pendingReports())
	follower.SendCrashesSettled()
	follower.dropLink()
	require.Eventually(t, func() bool { return followers(reader) == 0 }, eventuallyTimeout, time.Millisecond)
	require.Never(t, reader.blocksCrashing, 100*time.Millisecond, 10*time.Millisecond)
	pending := &pendingCrashes{}
	pending.update(&message{PendingCrashes: pendingReports()}, time.Now().Add(-pendingFor))
	require.Empty(t, pending.take(time.Now()), "their host would have settled them")
}

// followers returns the number of links to a hub.
func followers(h *Hub) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return len(h.followers)
}
