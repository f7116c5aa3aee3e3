package front

import (
	"bufio"
	"io"
	"net"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// panickingCodec is lineCodec with a fault: it panics at the request "bad". Its answers hold a status.
type panickingCodec struct{ lineCodec }

func (c panickingCodec) ReadRequest(from *bufio.Reader, limits func() catalog.Limits, onHeader func(bool) error) (*exchange.Request, error) {
	r, err := c.lineCodec.ReadRequest(from, limits, onHeader)
	if r.ID == "bad\n" {
		panic("index out of range")
	}
	return r, err
}

func (panickingCodec) AppendAnswer(dst []byte, _ *exchange.Request, a *exchange.Answer) []byte {
	return append(dst, byte(a.Status/100)+'0', '\n')
}

// TestPanicOfCodecEndsOnlyItsConnection guards against one request that ends the process, and with it
// the requests of all callers.
func TestPanicOfCodecEndsOnlyItsConnection(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	s := New(Options{Codec: panickingCodec{}, Handler: emptyHandler{}, Observer: noObserver{}, Log: log})
	go func() { _ = s.Serve(l) }()
	dial := func() net.Conn {
		conn, err := net.Dial("tcp", l.Addr().String())
		require.NoError(t, err)
		t.Cleanup(func() { _ = conn.Close() })
		return conn
	}
	other, bad := dial(), dial()
	_, err = io.WriteString(bad, "bad\n")
	require.NoError(t, err)
	answer, err := io.ReadAll(bad)
	require.NoError(t, err, "the connection is closed in order")
	require.Equal(t, "5\n", string(answer), "the caller gets an answer that promises nothing")
	_, err = io.WriteString(other, "sound\n")
	require.NoError(t, err)
	line, err := bufio.NewReader(other).ReadString('\n')
	require.NoError(t, err)
	require.Equal(t, "2\n", line)
}
