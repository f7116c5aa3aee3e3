package catalogshare

import (
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestHandshakeWithoutUTF8CostsNoOtherLink guards against one host's address or failure domain that makes
// the messages to all followers unreadable, which then call the store.
func TestHandshakeWithoutUTF8CostsNoOtherLink(t *testing.T) {
	for _, query := range []string{domainQuery + "=%E9%FF", addrQuery + "=%E9%FF&" + domainQuery + "=z-1"} {
		hub, addr, _ := serve(t)
		publishOne(hub)
		source, store := newSource(addr)
		_, err := source.Read(catalog.Position{})
		require.NoError(t, err)
		conn, resp, err := websocket.DefaultDialer.Dial("ws://"+addr+Path+"?"+query, nil) //nolint:bodyclose // the dialer has read the body
		if err == nil {
			t.Cleanup(func() { _ = conn.Close() })
			require.Eventually(t, func() bool { return knownHosts(hub) == 3 }, eventuallyTimeout, time.Millisecond)
		}
		hub.sendHeartbeat()
		hub.Publish(newBatch(9, "b"))
		for position := at(7); position.Before(at(9)); {
			batch, err := source.Watch(position, time.Second)
			require.NoError(t, err)
			require.Empty(t, store.calls, "the link to the reader has ended")
			position = batch.Position
		}
		require.Error(t, err, "the handshake is refused")
		require.Equal(t, 400, resp.StatusCode)
	}
}
