package peer

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy is a TCP proxy in front of a mesh. It can discard data and close
// connections.
type proxy struct {
	listener net.Listener
	upstream string

	mu         sync.Mutex
	discarding bool
	conns      []net.Conn
	wg         sync.WaitGroup
}

func startProxy(t testing.TB, upstream string) *proxy {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	p := &proxy{listener: l, upstream: upstream}
	p.wg.Go(p.accept)
	t.Cleanup(func() {
		_ = l.Close()
		p.closeConns()
		p.wg.Wait()
	})
	return p
}

func (p *proxy) accept() {
	for {
		in, err := p.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", p.upstream)
		if err != nil {
			_ = in.Close()
			continue
		}
		p.mu.Lock()
		p.conns = append(p.conns, in, out)
		p.mu.Unlock()
		p.wg.Go(func() { p.copy(out, in) })
		p.wg.Go(func() { p.copy(in, out) })
	}
}

// copy forwards the bytes of one direction of a connection. Once data arrives while
// the proxy is discarding, it discards that data and all that follows.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	discarding := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		p.mu.Lock()
		discarding = discarding || p.discarding
		p.mu.Unlock()
		if !discarding {
			_, _ = to.Write(buf[:n])
		}
	}
}

// startDiscarding makes the proxy discard the data that arrives before
// stopDiscarding, and all later data in the same direction of the same connection,
// also after stopDiscarding. Connections without such data are unaffected.
func (p *proxy) startDiscarding() { p.setDiscarding(true) }
func (p *proxy) stopDiscarding()  { p.setDiscarding(false) }

func (p *proxy) setDiscarding(discarding bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.discarding = discarding
}

// closeConns closes all connections.
func (p *proxy) closeConns() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.conns {
		_ = c.Close()
	}
	p.conns = nil
}
