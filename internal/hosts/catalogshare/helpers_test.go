package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestFollowersLearnOtherHostsThatCanHelp guards against a host that knows only the readers,
// which may be cut off from the targets as well.
func TestFollowersLearnOtherHostsThatCanHelp(t *testing.T) {
	hub, addr, _ := serve(t)
	publishOne(hub)
	first, _ := newSource(addr)
	first.opts.Hub.self = gathering.Member{Addr: "first:1", FailureDomain: "z-1"}
	second, _ := newSource(addr)
	second.opts.Hub.self = gathering.Member{Addr: "second:1", FailureDomain: "z-2"}
	for _, s := range []*Source{first, second} {
		_, err := s.Read(catalog.Position{})
		require.NoError(t, err)
	}
	require.Eventually(t, func() bool {
		hub.sendHeartbeat()
		_, err := first.Watch(at(7), time.Second)
		require.NoError(t, err)
		var addrs []string
		for _, m := range first.opts.Hub.Helpers() {
			addrs = append(addrs, m.Addr)
		}
		return len(addrs) == 3 && addrs[1] == "first:1" && addrs[2] == "second:1"
	}, eventuallyTimeout, time.Millisecond)
	require.Len(t, hub.Helpers(), 3)
}

// publishOne gives the hub an entry, without which it takes no links.
func publishOne(hub *Hub) {
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
}
