package faultproxy

import (
	"bufio"
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"
)

const (
	// shortWait is the delay of a slow link, and how long a test waits to check that
	// no bytes arrive.
	shortWait   = 50 * time.Millisecond
	readTimeout = 20 * time.Second
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// startEcho starts a server that sends all bytes back, and returns a proxy in
// front of it.
func startEcho(t *testing.T, classify func([]byte) string) *Proxy {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer func() { _ = conn.Close() }()
				_, _ = io.Copy(conn, conn)
			}()
		}
	}()
	proxy, err := StartClassified(listener.Addr().String(), classify)
	require.NoError(t, err)
	t.Cleanup(func() {
		proxy.Close()
		_ = listener.Close()
	})
	return proxy
}

type echoClient struct {
	conn   net.Conn
	reader *bufio.Reader
}

func connect(t *testing.T, proxy *Proxy) *echoClient {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Addr())
	require.NoError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return &echoClient{conn: conn, reader: bufio.NewReader(conn)}
}

func (c *echoClient) send(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c.conn, text+"\n")
	require.NoError(t, err)
}

func (c *echoClient) read(wait time.Duration) (string, error) {
	_ = c.conn.SetReadDeadline(time.Now().Add(wait))
	return c.reader.ReadString('\n')
}

func (c *echoClient) echo(t *testing.T, text string) {
	t.Helper()
	c.send(t, text)
	got, err := c.read(readTimeout)
	require.NoError(t, err)
	require.Equal(t, text+"\n", got)
}

// requireRefused checks that a new connection is reset and delivers no byte. The
// reset may arrive during the dial or at the first read.
func requireRefused(t *testing.T, proxy *Proxy) {
	t.Helper()
	conn, err := net.Dial("tcp", proxy.Addr())
	if err != nil {
		require.ErrorIs(t, err, syscall.ECONNRESET)
		return
	}
	defer func() { require.NoError(t, conn.Close()) }()
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(readTimeout)))
	n, err := conn.Read(make([]byte, 1))
	require.ErrorIs(t, err, syscall.ECONNRESET)
	require.Zero(t, n)
}

func TestBytesAreForwardedBothWays(t *testing.T) {
	connect(t, startEcho(t, nil)).echo(t, "hello")
}

func TestCutResetsOpenLinksOnly(t *testing.T) {
	proxy := startEcho(t, nil)
	old := connect(t, proxy)
	old.echo(t, "a")
	proxy.Cut()
	_, err := old.read(readTimeout)
	require.Error(t, err)
	connect(t, proxy).echo(t, "b")
	require.Equal(t, 2, proxy.Accepted())
}

func TestHeldBytesPassOnceRuleIsCleared(t *testing.T) {
	for name, rule := range map[string]Rule{
		"to server": {ToServer: Flow{Hold: true}},
		"to client": {ToClient: Flow{Hold: true}},
		"both":      Blackhole(),
	} {
		t.Run(name, func(t *testing.T) {
			proxy := startEcho(t, nil)
			link := connect(t, proxy)
			link.echo(t, "before")
			proxy.SetRule(rule)
			link.send(t, "held")
			_, err := link.read(shortWait)
			require.Error(t, err, "no bytes pass while they are held")
			proxy.SetRule(Rule{})
			got, err := link.read(readTimeout)
			require.NoError(t, err)
			require.Equal(t, "held\n", got)
		})
	}
}

func TestRefuseResetsNewConnectionsOnly(t *testing.T) {
	proxy := startEcho(t, nil)
	old := connect(t, proxy)
	old.echo(t, "a")
	proxy.SetRule(Rule{Refuse: true})
	requireRefused(t, proxy)
	old.echo(t, "b")
}

func TestHeldLinkDoesNotAffectNewLinks(t *testing.T) {
	proxy := startEcho(t, nil)
	old := connect(t, proxy)
	old.echo(t, "a")
	proxy.Links()[0].SetRule(Blackhole())
	old.send(t, "b")
	_, err := old.read(shortWait)
	require.Error(t, err)
	connect(t, proxy).echo(t, "c")
}

func TestTagRuleAppliesToLinksWithThatTag(t *testing.T) {
	proxy := startEcho(t, func(first []byte) string { return string(first[:1]) })
	one, two := connect(t, proxy), connect(t, proxy)
	one.echo(t, "1")
	two.echo(t, "2")
	proxy.SetTagRule("1", Blackhole())
	two.echo(t, "22")
	one.send(t, "11")
	_, err := one.read(shortWait)
	require.Error(t, err)
	proxy.ClearTagRule("1")
	got, err := one.read(readTimeout)
	require.NoError(t, err)
	require.Equal(t, "11\n", got)
}

func TestDelayedBytesArriveWhole(t *testing.T) {
	proxy := startEcho(t, nil)
	proxy.SetRule(Delay(shortWait))
	link := connect(t, proxy)
	start := time.Now()
	link.echo(t, "late")
	require.GreaterOrEqual(t, time.Since(start), 2*shortWait)
}
