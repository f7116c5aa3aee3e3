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
	// tag and linkRule are guarded by the proxy's mutex.
	tag      string
	linkRule *Rule
}

// Tag returns the link's tag. It is empty without a classify function, and until
// the client has sent its first bytes.
func (l *Link) Tag() string {
	l.proxy.mu.Lock()
	defer l.proxy.mu.Unlock()
	return l.tag
}

// SetRule sets the rule of this link only. It takes precedence over the proxy's
// rule and over tag rules.
func (l *Link) SetRule(r Rule) { l.proxy.update(func() { l.linkRule = &r }) }

// Cut closes both connections of the link with a TCP reset.
func (l *Link) Cut() {
	l.once.Do(func() {
		close(l.done)
		reset(l.client)
		reset(l.server)
	})
}

// run forwards in both directions until both have ended or the link is cut.
func (l *Link) run() {
	var group sync.WaitGroup
	group.Go(func() { l.copyDirection(l.client, l.server, l.toServer) })
	group.Go(func() { l.copyDirection(l.server, l.client, func(r Rule) Flow { return r.ToClient }) })
	group.Wait()
	l.once.Do(func() {
		close(l.done)
		_ = l.client.Close()
		_ = l.server.Close()
	})
}

func (l *Link) toServer(r Rule) Flow { return r.ToServer }

// copyDirection copies bytes from one connection to the other under the flow that
// pick selects from the rule in force. At the end of input it closes the write side
// of the other connection.
func (l *Link) copyDirection(from, to net.Conn, pick func(Rule) Flow) {
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

// wait returns true once the flow lets bytes pass, and false if the link ended
// before.
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

// flow returns the flow in force and a channel that is closed on the next change
// of rules.
func (l *Link) flow(pick func(Rule) Flow) (Flow, <-chan struct{}) {
	p := l.proxy
	p.mu.Lock()
	defer p.mu.Unlock()
	rule := p.rule
	if tagged, ok := p.tagRules[l.tag]; ok {
		rule = tagged
	}
	if l.linkRule != nil {
		rule = *l.linkRule
	}
	return pick(rule), p.changed
}

func (l *Link) closeWrite(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}
