package platform

import (
	"net"
	"sync"
)

// connTracker is a listener that can close the connections it accepted.
type connTracker struct {
	net.Listener
	mu   sync.Mutex
	open map[net.Conn]struct{}
}

// Accept implements net.Listener.
func (l *connTracker) Accept() (net.Conn, error) {
	raw, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	conn := &trackedConn{Conn: raw, owner: l}
	l.open[conn] = struct{}{}
	return conn, nil
}

// closeAll closes the listener and every connection.
func (l *connTracker) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for conn := range l.open {
		_ = conn.(*trackedConn).Conn.Close()
	}
}

// trackedConn leaves its listener's set when it is closed.
type trackedConn struct {
	net.Conn
	owner *connTracker
}

// Close implements io.Closer.
func (c *trackedConn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.open, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}
