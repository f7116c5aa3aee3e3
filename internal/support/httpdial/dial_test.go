package httpdial

import (
	"crypto/tls"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// TestClientWithTLSReadsReplies guards against a handshake on top of one that has been made.
func TestClientWithTLSReadsReplies(t *testing.T) {
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("body")) }))
	t.Cleanup(server.Close)
	roots := server.Client().Transport.(*http.Transport).TLSClientConfig.RootCAs
	client := &fasthttp.HostClient{
		Addr: server.Listener.Addr().String(), IsTLS: true,
		Dial: dialFunc(time.Minute, &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: roots}),
	}
	for range 2 {
		status, body, err := client.Get(nil, server.URL)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, "body", string(body))
	}
}

// TestClientGetsNoBrokenReply guards against replies that a library corrects.
func TestClientGetsNoBrokenReply(t *testing.T) {
	server, err := rawserver.Start(func(*http.Request, []byte) ([]byte, bool) {
		return []byte("HTTP/1.1 000 OK\r\nContent-Length: 2\r\n\r\nok"), true
	})
	require.NoError(t, err)
	t.Cleanup(server.Close)
	client := &fasthttp.HostClient{Addr: server.Addr(), Dial: Func(time.Minute, false)}
	status, body, err := client.Get(nil, "http://"+server.Addr())
	require.Error(t, err, "%d %q", status, body)
}
