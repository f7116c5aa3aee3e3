package target

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// listener accepts connections up to a limit and closes further ones.
type listener struct {
	net.Listener
	limit     int
	setupCost time.Duration
	mu        sync.Mutex
	open      map[*conn]struct{}
	peak      int
	refused   int
	closed    bool
}

func newListener(inner net.Listener, limit int, setupCost time.Duration) *listener {
	return &listener{Listener: inner, limit: limit, setupCost: setupCost, open: make(map[*conn]struct{})}
}

// Accept implements net.Listener.
func (l *listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if c := l.admit(raw); c != nil {
			return c, nil
		}
		_ = raw.Close()
	}
}

func (l *listener) admit(raw net.Conn) *conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return nil
	}
	if len(l.open) >= l.limit {
		l.refused++
		return nil
	}
	c := &conn{Conn: raw, owner: l, closed: make(chan struct{})}
	l.open[c] = struct{}{}
	l.peak = max(l.peak, len(l.open))
	return c
}

func (l *listener) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, c)
}

// closeAll closes the listener and every connection.
func (l *listener) closeAll() {
	_ = l.Close()
	l.mu.Lock()
	l.closed = true
	l.mu.Unlock()
	for _, c := range l.conns() {
		_ = c.Close()
	}
}

// silence discards everything written to the connections that are open now.
func (l *listener) silence() {
	for _, c := range l.conns() {
		c.silent.Store(true)
	}
}

func (l *listener) conns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.open))
	for c := range l.open {
		conns = append(conns, c)
	}
	return conns
}

func (l *listener) counts() (open, peak, refused int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open), l.peak, l.refused
}

// conn is one accepted connection.
type conn struct {
	net.Conn
	owner  *listener
	setUp  bool
	silent atomic.Bool
	once   sync.Once
	closed chan struct{}
}

// Read implements io.Reader. The first read is delayed by the set-up cost.
func (c *conn) Read(p []byte) (int, error) {
	if !c.setUp {
		c.setUp = true
		time.Sleep(c.owner.setupCost)
	}
	return c.Conn.Read(p)
}

// Write implements io.Writer. A silent connection discards what is written.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close implements io.Closer.
func (c *conn) Close() error {
	c.once.Do(func() {
		c.owner.remove(c)
		close(c.closed)
	})
	return c.Conn.Close()
}
