package httpreply_test

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"regexp"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

// library reads a reply by an HTTP library.
type library func(from *bufio.Reader) (status int, body []byte, err error)

func byFastHTTP(from *bufio.Reader) (int, []byte, error) {
	var resp fasthttp.Response
	err := resp.ReadLimitBody(from, maxBody)
	return resp.StatusCode(), bytes.Clone(resp.Body()), err
}

func byNetHTTP(from *bufio.Reader) (int, []byte, error) {
	resp, err := http.ReadResponse(from, nil)
	if err != nil {
		return 0, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	content, err := io.ReadAll(resp.Body)
	return resp.StatusCode, content, err
}

var libraries = map[string]library{"fasthttp": byFastHTTP, "net/http": byNetHTTP}

// TestLibraryGetsNoInvalidReply guards against libraries that take what the protocol forbids for
// a reply.
func TestLibraryGetsNoInvalidReply(t *testing.T) {
	for library, read := range libraries {
		for name, raw := range rawserver.Broken(headers, body) {
			status, content, err := read(bufio.NewReader(pipe(t, raw)))
			require.Error(t, err, "%s, %s: read as %d and %q", library, name, status, content)
		}
		for name, raw := range rawserver.Unusual(headers, body) {
			status, content, err := read(bufio.NewReader(pipe(t, raw)))
			require.NoError(t, err, "%s, %s", library, name)
			require.Equal(t, 200, status)
			require.Equal(t, body, string(content), "%s, %s", library, name)
		}
	}
}

// TestNothingIsReadAfterAnInvalidReply guards against a library that goes on behind an error.
func TestNothingIsReadAfterAnInvalidReply(t *testing.T) {
	sound := rawserver.Framings("200 OK", headers, body)["length"]
	conn := pipe(t, slices.Concat([]byte("HTTP/1.1 000 OK\r\n\r\n"), sound))
	for range 3 {
		_, err := conn.Read(make([]byte, 100))
		require.True(t, httpreply.IsInvalid(err), "%v", err)
	}
}

// TestConnReadsOneReplyAfterTheOther covers connections that are kept open, and one that goes on
// with another protocol.
func TestConnReadsOneReplyAfterTheOther(t *testing.T) {
	framings := rawserver.Framings("200 OK", headers, body)
	parts := [][]byte{framings["length"], framings["chunks"], framings["interim"],
		[]byte("HTTP/1.1 204 No Content\r\n\r\n"), []byte("HTTP/1.1 101 Go\r\n\r\n\x81\x00noise\r\n")}
	reader := bufio.NewReader(httpreply.NewUpgradeConn(pipe(t, parts...).NetConn()))
	for range 3 {
		status, content, err := byFastHTTP(reader)
		require.NoError(t, err)
		require.Equal(t, 200, status)
		require.Equal(t, body, string(content))
	}
	for _, expected := range []int{204, 101} {
		status, _, err := byFastHTTP(reader)
		require.NoError(t, err)
		require.Equal(t, expected, status)
	}
	rest, err := io.ReadAll(reader)
	require.NoError(t, err)
	require.Equal(t, "\x81\x00noise\r\n", string(rest))
}

// TestBytesBehindAReplyAreNoReply guards against a second copy of a reply that is read as the reply to
// the next request.
func TestBytesBehindAReplyAreNoReply(t *testing.T) {
	framings := rawserver.Framings("200 OK", headers, body)
	framings["no body"] = []byte("HTTP/1.1 204 No Content\r\n\r\n")
	delete(framings, "no length")
	for name, first := range framings {
		conn := pipe(t, slices.Concat(first, framings["length"]))
		_, _, err := byFastHTTP(bufio.NewReader(conn))
		require.NoError(t, err, name)
		status, content, err := byFastHTTP(bufio.NewReader(conn))
		require.Error(t, err, "%s: read as %d and %q", name, status, content)
	}
}

// TestOtherProtocolIsRefusedUnlessAskedFor guards against a reply that switches the check of those
// behind it off.
func TestOtherProtocolIsRefusedUnlessAskedFor(t *testing.T) {
	for name, read := range libraries {
		_, _, err := read(bufio.NewReader(pipe(t, []byte("HTTP/1.1 101 Go\r\n\r\n"))))
		require.Error(t, err, name)
	}
}

// validHead is the grammar of a head by RFC 9112, with lines that end with LF alone, and values
// that are folded without a colon.
var validHead = regexp.MustCompile("^HTTP/1\\.[0-9] [1-5][0-9]{2}( [^\\x00-\\x08\\x0a-\\x1f\\x7f]*)?\\r?\\n" +
	"([-!#$%&'*+.^_`|~0-9A-Za-z]+:[^\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r?\\n([ \\t][^:\\x00-\\x08\\x0a-\\x1f\\x7f]*\\r?\\n)*)*\\r?\\n")

// bareLF is an LF alone behind a line that ends with CRLF.
var bareLF = regexp.MustCompile(`\r\n([^\n]*[^\r\n])?\n`)

// FuzzReply compares what is read of any bytes with the grammar, and with what libraries read
// of them through a Conn.
func FuzzReply(f *testing.F) {
	for _, replies := range []map[string][]byte{rawserver.Broken(headers, body), rawserver.Unusual(headers, body)} {
		for _, raw := range replies {
			f.Add(raw)
		}
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var first httpreply.Head
		if size, err := first.Parse(raw); err == nil && size > 0 {
			require.Equal(t, size, len(validHead.Find(raw)), "%q", raw)
			require.False(t, bareLF.Match(raw[:size]), "%q", raw)
		}
		head, content, err := read(bytes.NewReader(raw))
		if err == nil {
			err = head.CheckProtocol()
		}
		for name, byLibrary := range libraries {
			status, through, libraryErr := byLibrary(bufio.NewReader(pipe(t, raw)))
			if err != nil {
				require.Error(t, libraryErr, "%s read %d and %q of %q: %v", name, status, through, raw, err)
				continue
			}
			if libraryErr == nil {
				require.Equal(t, head.Status, status, "%s, %q", name, raw)
				require.Equal(t, string(content), string(through), "%s, %q", name, raw)
			}
		}
	})
}

// fullConn is a connection whose reads return as many bytes as they can.
type fullConn struct {
	net.Conn
	begin string
}

func (c *fullConn) Read(p []byte) (int, error) {
	n := copy(p, c.begin)
	c.begin = c.begin[n:]
	return max(n, len(p)), nil
}

// TestOneReadOfBodyIsBounded guards against a library that reads far more of a body without end than
// it takes.
func TestOneReadOfBodyIsBounded(t *testing.T) {
	const mostBytes = 64 << 10
	conn := httpreply.NewConn(&fullConn{begin: "HTTP/1.1 200 OK\r\n\r\n"})
	p := make([]byte, 1<<20)
	for range 4 {
		n, err := conn.Read(p)
		require.NoError(t, err)
		require.LessOrEqual(t, n, mostBytes)
	}
}
