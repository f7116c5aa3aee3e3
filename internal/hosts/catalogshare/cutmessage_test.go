package catalogshare

import (
	"fmt"
	"testing"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestCutMessageOfReaderIsNoMessage guards against a reader that stops within a message with all
// entries, of which the part that arrived counts as the whole catalog.
func TestCutMessageOfReaderIsNoMessage(t *testing.T) {
	for _, entries := range []int{1, 60} {
		m := &message{Full: true, Revision: 7}
		for i := range entries {
			m.Entries = append(m.Entries, entry{Key: fmt.Sprintf("servers/i-%08x", i*2654435761), Value: []byte(`{"service":"shard-1","state":"ready"}`), Revision: 7})
		}
		raw, err := encode(m)
		require.NoError(t, err)
		require.Equal(t, entries > 1, raw[0] == compressedMark)
		for n := range raw {
			_, err := decode(raw[:n])
			require.Error(t, err, "payload cut after %d bytes", n)
		}
		cut := rawserver.NewCutMessage(raw)
		server, err := rawserver.Start(cut.Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		log, _ := test.NewNullLogger()
		arrives := func() bool {
			l, err := dial(server.Addr(), gathering.Member{}, false, log)
			if err != nil {
				return false
			}
			defer l.end()
			_, arrived := <-l.messages
			return arrived
		}
		require.True(t, arrives())
		for n := range cut.Size() {
			cut.After(n)
			require.False(t, arrives(), "cut after %d of %d bytes", n, cut.Size())
		}
	}
}
