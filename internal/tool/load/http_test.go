package load

import (
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestStatedLengthOfAnswerIsNotAllocated guards against a host whose answer states a length beyond all
// memory, and that so ends the process of the tool.
func TestStatedLengthOfAnswerIsNotAllocated(t *testing.T) {
	for _, length := range []string{"99999999999999999", "999999999999999999", "9999999999999999999", "99999999999", "67108865"} {
		server, err := rawserver.Start(func(*http.Request, []byte) ([]byte, bool) {
			return fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Length: %s\r\n\r\n{}", length), true
		})
		require.NoError(t, err)
		t.Cleanup(server.Close)
		client, err := NewHTTPClient([]string{"http://" + server.Addr()}, 1)
		require.NoError(t, err)
		outcome := client.Ask(t.Context(), &Query{Deadline: time.Second})
		require.Equal(t, Outcome{Reason: NoResponse}, outcome, length)
	}
}
