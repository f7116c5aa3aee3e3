package catalogshare

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

var crashing = &exchange.Request{Method: "GET", URI: "/bad"}

// addVerdict makes a hub know that a request crashes targets.
func addVerdict(h *Hub) {
	for i := range 2 {
		h.AddCrashReports([]crashguard.CrashReport{{
			Request: crashguard.FingerprintOf(crashing), Target: fmt.Sprint("t-", i), AgeMS: int64(5000 * (i + 1)),
		}})
	}
}

func (h *Hub) blocksCrashing() bool { return h.guard.Blocks(crashing, time.Now()) }

// TestHostThatJoinsLearnsRequestsThatCrashTargets guards against hosts that restart, or were cut
// off, and pass requests on that the others refuse.
func TestHostThatJoinsLearnsRequestsThatCrashTargets(t *testing.T) {
	first := newBatch(7, "a")
	first.Full = true
	t.Run("a follower from its reader", func(t *testing.T) {
		reader, addr, _ := serve(t)
		reader.Publish(first)
		addVerdict(reader)
		follower, _ := newSource(addr)
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		require.True(t, follower.opts.Hub.blocksCrashing())
	})
	t.Run("a reader from a follower", func(t *testing.T) {
		reader, addr, _ := serve(t)
		reader.Publish(first)
		follower, _ := newSource(addr)
		addVerdict(follower.opts.Hub)
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		require.Eventually(t, reader.blocksCrashing, eventuallyTimeout, time.Millisecond)
	})
	t.Run("a reader from another reader", func(t *testing.T) {
		other, addr, _ := serve(t)
		other.Publish(first)
		addVerdict(other)
		reader, _ := newSource(addr, "self")
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go reader.Observe(ctx)
		require.Eventually(t, reader.opts.Hub.blocksCrashing, eventuallyTimeout, time.Millisecond)
	})
}

// TestHostThatJoinsLearnsThatNothingIsForgotten guards against hosts that take a restart of their own
// for the loss of what all hosts knew of crashes.
func TestHostThatJoinsLearnsThatNothingIsForgotten(t *testing.T) {
	first := newBatch(7, "a")
	first.Full = true
	reader, addr, _ := serve(t)
	reader.Publish(first)
	follower, _ := newSource(addr)
	remembers := func(h *Hub) func() bool {
		return func() bool { return h.guard.Memory(time.Now()) == crashguard.New().Memory(time.Now()) }
	}
	t.Run("a follower from its reader", func(t *testing.T) {
		follower.opts.Hub.guard.Restarted(time.Now())
		_, err := follower.Read(catalog.Position{})
		require.NoError(t, err)
		require.True(t, remembers(follower.opts.Hub)())
	})
	t.Run("a reader from a follower", func(t *testing.T) {
		reader.guard.Restarted(time.Now())
		joining, _ := newSource(addr)
		_, err := joining.Read(catalog.Position{})
		require.NoError(t, err)
		require.Eventually(t, remembers(reader), eventuallyTimeout, time.Millisecond)
	})
}

// TestManyCrashReportsKeepLinks guards against a sweep that ends many targets at once, whose
// reports fill the queues of the links, which are closed then.
func TestManyCrashReportsKeepLinks(t *testing.T) {
	hub, _, _ := serve(t)
	f := &follower{out: make(chan []byte, outboxCapacity)}
	hub.mu.Lock()
	hub.followers[f] = true
	hub.mu.Unlock()
	var reports []crashguard.CrashReport
	for i := range 2 * outboxCapacity {
		reports = append(reports, crashguard.CrashReport{Request: crashguard.Fingerprint(i), Target: "t"})
	}
	hub.AddCrashReports(reports)
	hub.mu.Lock()
	defer hub.mu.Unlock()
	require.True(t, hub.followers[f])
	require.NotEmpty(t, f.out)
}
