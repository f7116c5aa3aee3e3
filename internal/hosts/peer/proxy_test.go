package peer

import (
	"net"
	"sync"
	"testing"

	"github.com/stretchr/testify/require"
)

// proxy is a TCP proxy in front of a mesh that can discard data and close
// connections.
type proxy struct {
	listener net.Listener
	upstream string

	mu     sync.Mutex
	frozen bool
	conns  []net.Conn
	wg     sync.WaitGroup
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

// copy forwards bytes. Once data arrives while the proxy is frozen, it discards
// that data and all that follows.
func (p *proxy) copy(to, from net.Conn) {
	buf := make([]byte, 32<<10)
	frozen := false
	for {
		n, err := from.Read(buf)
		if err != nil {
			_ = to.Close()
			return
		}
		p.mu.Lock()
		frozen = frozen || p.frozen
		p.mu.Unlock()
		if !frozen {
			_, _ = to.Write(buf[:n])
		}
	}
}

// freeze makes each connection that carries data before thaw discard it and all
// later data, also after thaw. Connections opened after thaw forward data.
func (p *proxy) freeze() { p.set(true) }
func (p *proxy) thaw()   { p.set(false) }

func (p *proxy) set(frozen bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.frozen = frozen
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
