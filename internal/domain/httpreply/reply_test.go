package httpreply_test

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"testing"
	"testing/iotest"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/standin/rawserver"
)

const (
	headers = "Request-Id: r-1\r\nResponse-Stamp: s.1\r\n"
	body    = "0123456789abcdef"
	// maxBody is the limit of bodies in bytes.
	maxBody = 1 << 20
)

// read reads a reply.
func read(from io.Reader) (*httpreply.Head, []byte, error) {
	reader := bufio.NewReader(from)
	head := new(httpreply.Head)
	if err := head.Read(reader); err != nil {
		return nil, nil, err
	}
	content, err := httpreply.ReadBody(reader, head.Length, exchange.BodyLimit{MaxBytes: maxBody})
	return head, content, err
}

// TestReplyThatTheProtocolForbidsIsInvalid guards against replies that a reader corrects and
// takes for a success.
func TestReplyThatTheProtocolForbidsIsInvalid(t *testing.T) {
	for name, raw := range rawserver.Broken(headers, body) {
		for _, from := range []io.Reader{bytes.NewReader(raw), iotest.OneByteReader(bytes.NewReader(raw))} {
			head, content, err := read(from)
			require.True(t, httpreply.IsInvalid(err), "%s: %v, read as %+v and %q", name, err, head, content)
		}
	}
}

// TestUnusualReplyIsRead guards against valid replies that are refused.
func TestUnusualReplyIsRead(t *testing.T) {
	for name, raw := range rawserver.Unusual(headers, body) {
		for _, from := range []io.Reader{bytes.NewReader(raw), iotest.OneByteReader(bytes.NewReader(raw))} {
			head, content, err := read(from)
			require.NoError(t, err, name)
			require.Equal(t, 200, head.Status, name)
			require.Equal(t, body, string(content), name)
		}
	}
}

// TestEveryStatusOfTheProtocolIsRead covers the whole range, and the numbers beside it.
func TestEveryStatusOfTheProtocolIsRead(t *testing.T) {
	for status := range 1000 {
		line := []byte("HTTP/1.1 000 x\r\nContent-Length: 0\r\n\r\n")
		line[9], line[10], line[11] = byte('0'+status/100), byte('0'+status/10%10), byte('0'+status%10)
		var head httpreply.Head
		size, err := head.Parse(line)
		if status < 100 || status > 599 {
			require.True(t, httpreply.IsInvalid(err), "%d", status)
			continue
		}
		require.NoError(t, err, "%d", status)
		require.Equal(t, len(line), size)
		require.Equal(t, status, head.Status)
		require.Equal(t, status < 200 && status != 101, head.Interim())
	}
}

// TestFoldedValueIsJoined guards against two readers that take different fields from a line.
func TestFoldedValueIsJoined(t *testing.T) {
	var head httpreply.Head
	_, err := head.Parse([]byte("HTTP/1.1 200 OK\r\nA: b\r\n \t Content-Length= 3\r\n \r\nConnection: x\r\n , close\r\nB: c\r\n\r\n"))
	require.NoError(t, err)
	require.Len(t, head.Fields, 3)
	require.Equal(t, "b Content-Length= 3", string(head.Fields[0].Value))
	require.Equal(t, httpreply.ToEnd, head.Length)
	require.True(t, head.HasOption([]byte("CLOSE")))
}

// TestLengthBeyondAllLimitsIsBounded guards against a stated length that wraps around, as it is read
// or in a sum of those of several replies.
func TestLengthBeyondAllLimitsIsBounded(t *testing.T) {
	for _, digits := range []string{
		"1073741825", "4611686018427387904", "999999999999999999", "9223372036854775807", "9223372036854775808",
		"18446744073709551617", "99999999999999999999", "100000000000000000000000000000000",
	} {
		raw := "HTTP/1.1 200 OK\r\nContent-Length: " + digits + "\r\n\r\n"
		head, _, err := read(bytes.NewReader([]byte(raw)))
		require.Equal(t, httpreply.MaxLength, head.Length, digits)
		tooLarge, oversized := exchange.AsOversizedReply(err)
		require.True(t, oversized, "%s: %v", digits, err)
		require.Equal(t, httpreply.MaxLength, tooLarge.Bytes, digits)
	}
}

// TestChunksBeyondAllLimitsAreBounded is the same for the sizes of chunks.
func TestChunksBeyondAllLimitsAreBounded(t *testing.T) {
	for _, digits := range []string{"40000000", "7fffffff", "7fffffffffffffff", "8000000000000000", "ffffffffffffffff", "10000000000000000"} {
		raw := "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n" + digits + "\r\n"
		_, _, err := read(bytes.NewReader([]byte(raw)))
		tooLarge, oversized := exchange.AsOversizedReply(err)
		require.True(t, oversized, "%s: %v", digits, err)
		require.Equal(t, 1+httpreply.MaxLength, tooLarge.Bytes, digits)
	}
}

// TestLibraryGetsTheBoundedLength guards against a library that takes the length of a body for another
// one than the Conn does.
func TestLibraryGetsTheBoundedLength(t *testing.T) {
	conn := pipe(t, []byte("HTTP/1.1 200 OK\r\ncontent-length: 9223372036854775807\r\n\r\n"))
	raw, err := io.ReadAll(conn)
	require.NoError(t, err)
	require.Equal(t, fmt.Sprintf("HTTP/1.1 200 OK\r\ncontent-length: %d\r\n\r\n", httpreply.MaxLength), string(raw))
}

// pipe returns a Conn whose other end sends each part by itself and closes.
func pipe(t *testing.T, parts ...[]byte) *httpreply.Conn {
	t.Helper()
	near, far := net.Pipe()
	t.Cleanup(func() { _ = near.Close() })
	go func() {
		for _, part := range parts {
			_, _ = far.Write(part)
		}
		_ = far.Close()
	}()
	return httpreply.NewConn(near)
}
