package adminclient

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

// TestCutAnswerIsAnError guards against a host that stops within an answer, of which the rest
// counts as a state without targets, and against a command that is sent again.
func TestCutAnswerIsAnError(t *testing.T) {
	for framing, raw := range rawserver.Framings("200 OK", "", `{"targets":[]}`) {
		cut := rawserver.NewCut(func(*http.Request, []byte) []byte { return raw })
		server, err := rawserver.Start(cut.Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		client := &Client{BaseURL: "http://" + server.Addr(), HTTP: httpjson.New()}
		for n := range raw {
			cut.After(n)
			_, err := client.Targets()
			require.Error(t, err, "%s, cut after %q", framing, raw[:n])
			_, err = client.Drain()
			require.Error(t, err, "%s, cut after %q", framing, raw[:n])
			_, err = client.Ready()
			require.Error(t, err, "%s, cut after %q", framing, raw[:n])
			require.Equal(t, 3*(n+1), server.Requests())
		}
	}
}
