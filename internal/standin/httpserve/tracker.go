package httpserve

import (
	"net"
	"sync"
)

// Tracker is a listener that can close the connections it accepted.
type Tracker struct {
	net.Listener
	mu     sync.Mutex
	open   map[*trackedConn]struct{}
	closed bool
}

// Track returns a Tracker over inner.
func Track(inner net.Listener) *Tracker {
	return &Tracker{Listener: inner, open: make(map[*trackedConn]struct{})}
}

// Accept implements net.Listener.
func (t *Tracker) Accept() (net.Conn, error) {
	raw, err := t.Listener.Accept()
	if err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	conn := &trackedConn{Conn: raw, owner: t}
	t.open[conn] = struct{}{}
	return conn, nil
}

// CloseAll closes the listener and all open connections.
func (t *Tracker) CloseAll() {
	_ = t.Close()
	t.mu.Lock()
	defer t.mu.Unlock()
	t.closed = true
	for conn := range t.open {
		_ = conn.Conn.Close()
	}
}

// trackedConn removes itself from its Tracker when it is closed.
type trackedConn struct {
	net.Conn
	owner *Tracker
}

// Close implements io.Closer.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
