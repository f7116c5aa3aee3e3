package faultproxy

import (
	"net"
	"sync"
	"time"
)

// chunkBytes is the size of the buffer that a link reads into.
const chunkBytes = 32 << 10

// Link is one forwarded connection.
type Link struct {
	proxy  *Proxy
	client net.Conn
	server net.Conn
	once   sync.Once
	done   chan struct{}
	// tag and own are guarded by the proxy's mutex.
	tag string
	own *Rule
}

// Tag returns the link's name, empty until its client sent something.
func (l *Link) Tag() string {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.tag
}

// SetRule gives the link a rule of its own, which goes before all others.
func (l *Link) SetRule(r Rule) { l.proxy.update(func() { l.own = &r }) }

// Cut resets the link at both ends.
func (l *Link) Cut() {
	l.once.Do(func() {
		close(l.done)
		reset(l.client)
		reset(l.server)
	})
}

// run forwards both ways until either end closes or the link is cut.
func (l *Link) run() {
	var group sync.WaitGroup
	group.Go(func() { l.pump(l.client, l.server, l.toServer) })
	group.Go(func() { l.pump(l.server, l.client, func(r Rule) Flow { return r.ToClient }) })
	group.Wait()
	l.once.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

func (l *Link) toServer(r Rule) Flow { return r.ToServer }

// pump copies from one end to the other under the flow that pick chooses. At the
// end of input it closes the other end's write side.
func (l *Link) pump(from, to net.Conn, pick func(Rule) Flow) {
	buf := make([]byte, chunkBytes)
	first := from == l.client
	for {
		n, err := from.Read(buf)
		if first && n > 0 {
			first = false
			l.setTag(buf[:n])
		}
		if !l.wait(pick) {
			return
		}
		if n > 0 {
			if _, writeErr := to.Write(buf[:n]); writeErr != nil {
				l.Cut()
				return
			}
		}
		if err != nil {
			l.closeWrite(to)
			return
		}
	}
}

func (l *Link) setTag(first []byte) {
	if l.proxy.classify == nil {
		return
	}
	tag := l.proxy.classify(first)
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	l.tag = tag
}

// wait returns true once the flow lets bytes pass, and false if the link ended.
func (l *Link) wait(pick func(Rule) Flow) bool {
	delayed := false
	for {
		flow, changed := l.flow(pick)
		switch {
		case flow.Hold:
			select {
			case <-changed:
			case <-l.done:
				return false
			}
		case flow.Delay > 0 && !delayed:
			delayed = true
			select {
			case <-time.After(flow.Delay):
			case <-l.done:
				return false
			}
		default:
			return true
		}
	}
}

// flow returns the flow in force and a channel that closes when rules change.
func (l *Link) flow(pick func(Rule) Flow) (Flow, <-chan struct{}) {
	p := l.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	rule := p.rule
	if tagged, ok := p.tagRules[l.tag]; ok {
		rule = tagged
	}
	if l.own != nil {
		rule = *l.own
	}
	return pick(rule), p.changed
}

func (l *Link) closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
