package platform

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestCutAnswerOfPlatformIsAnError guards against a platform that stops within an answer, of
// which the rest counts as a document without keys or a list without hosts.
func TestCutAnswerOfPlatformIsAnError(t *testing.T) {
	for framing, raw := range rawserver.Framings("200 OK", "", `{"revision":7}`) {
		cut := rawserver.NewCut(func(*http.Request, []byte) []byte { return raw })
		server, err := rawserver.Start(cut.Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		client := NewHTTPClient(server.Addr())
		_, err = client.HostList(t.Context(), 0, 0)
		require.NoError(t, err)
		for n := range raw {
			cut.After(n)
			_, err := client.Document(t.Context(), 0, 0)
			require.Error(t, err, "%s, cut after %q", framing, raw[:n])
			_, err = client.HostList(t.Context(), 0, 0)
			require.Error(t, err, "%s, cut after %q", framing, raw[:n])
		}
	}
}

// TestBrokenAnswerOfPlatformIsAnError guards against documents that are taken from what the
// protocol forbids in an answer.
func TestBrokenAnswerOfPlatformIsAnError(t *testing.T) {
	for name, raw := range rawserver.Broken("", `{"revision":7}`) {
		server, err := rawserver.Start(rawserver.NewCut(func(*http.Request, []byte) []byte { return raw }).Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		_, err = NewHTTPClient(server.Addr()).Document(t.Context(), 0, 0)
		require.Error(t, err, name)
	}
	for name, raw := range rawserver.Unusual("", `{"revision":7}`) {
		server, err := rawserver.Start(rawserver.NewCut(func(*http.Request, []byte) []byte { return raw }).Answer)
		require.NoError(t, err)
		t.Cleanup(server.Close)
		list, err := NewHTTPClient(server.Addr()).HostList(t.Context(), 0, 0)
		require.NoError(t, err, name)
		require.EqualValues(t, 7, list.Revision, name)
	}
}

// TestEndlessAnswerOfPlatformIsAnError guards against a platform whose answers use up a host's
// memory.
func TestEndlessAnswerOfPlatformIsAnError(t *testing.T) {
	// bufferBytes is what the readers' buffers may hold beyond the body.
	const bufferBytes = 64 << 10
	for name, endless := range rawserver.EndlessReplies() {
		server, err := rawserver.StartEndless(func(*http.Request, []byte) ([]byte, bool) { return []byte(endless.Begin), true }, rawserver.Repeat(endless.Again))
		require.NoError(t, err)
		t.Cleanup(server.Close)
		var read atomic.Int64
		client := NewHTTPClient(server.Addr())
		plain := client.dial
		client.dial = func(ctx context.Context, network, addr string) (net.Conn, error) {
			raw, err := plain(ctx, network, addr)
			return rawserver.CountReads(raw, &read), err
		}
		_, err = client.HostList(t.Context(), 0, 0)
		require.Error(t, err, name)
		require.Less(t, read.Load(), int64(MaxResponseBytes+bufferBytes), name)
	}
}
