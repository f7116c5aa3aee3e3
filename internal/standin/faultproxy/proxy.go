package faultproxy

import (
	"net"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// dialTimeout bounds the time to connect to the server.
const dialTimeout = 5 * time.Second

// Proxy forwards connections to one server.
type Proxy struct {
	listener net.Listener
	classify func(first []byte) string
	group    sync.WaitGroup

	mu       sync.Mutex
	server   string
	rule     Rule
	tagRules map[string]Rule
	links    map[*Link]struct{}
	accepted int
	closed   bool
	changed  chan struct{}
}

// Start starts a proxy on a free loopback port that forwards to server.
func Start(server string) (*Proxy, error) { return StartClassified(server, nil) }

// StartClassified is like Start, and tags each link with what classify returns for
// the first bytes that its client sent. SetTagRule selects links by their tag.
func StartClassified(server string, classify func(first []byte) string) (*Proxy, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, eris.Wrap(err, "faultproxy: listen")
	}
	p := &Proxy{
		listener: listener,
		classify: classify,
		server:   server,
		tagRules: make(map[string]Rule),
		links:    make(map[*Link]struct{}),
		changed:  make(chan struct{}),
	}
	p.group.Go(p.accept)
	return p, nil
}

// Addr returns the address that the proxy listens on.
func (p *Proxy) Addr() string { return p.listener.Addr().String() }

// SetServer sets the address that new connections are forwarded to.
func (p *Proxy) SetServer(addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.server = addr
}

// SetRule sets the rule of links that have neither a tag rule nor a rule of their
// own.
func (p *Proxy) SetRule(r Rule) { p.update(func() { p.rule = r }) }

// SetTagRule sets the rule of links with this tag that have no rule of their own.
func (p *Proxy) SetTagRule(tag string, r Rule) { p.update(func() { p.tagRules[tag] = r }) }

// ClearTagRule removes the rule set for this tag.
func (p *Proxy) ClearTagRule(tag string) { p.update(func() { delete(p.tagRules, tag) }) }

// Cut resets all open links. New connections are not affected.
func (p *Proxy) Cut() {
	for _, link := range p.Links() {
		link.Cut()
	}
}

// Links returns the open links.
func (p *Proxy) Links() []*Link {
	p.mu.Lock()
	defer p.mu.Unlock()
	links := make([]*Link, 0, len(p.links))
	for link := range p.links {
		links = append(links, link)
	}
	return links
}

// Accepted returns the number of connections accepted so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.accepted
}

// Close closes the listener and all links, and waits until they have ended.
func (p *Proxy) Close() {
	p.update(func() { p.closed = true })
	_ = p.listener.Close()
	p.Cut()
	p.group.Wait()
}

// update applies a change under the mutex and wakes the links that wait for one.
func (p *Proxy) update(change func()) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change()
	close(p.changed)
	p.changed = make(chan struct{})
}

func (p *Proxy) accept() {
	for {
		client, err := p.listener.Accept()
		if err != nil {
			return
		}
		p.mu.Lock()
		p.accepted++
		refuse, server := p.rule.Refuse || p.closed, p.server
		p.mu.Unlock()
		if refuse {
			reset(client)
			continue
		}
		p.group.Go(func() { p.forward(client, server) })
	}
}

// forward connects to the server and runs the link until it ends.
func (p *Proxy) forward(client net.Conn, addr string) {
	server, err := net.DialTimeout("tcp", addr, dialTimeout)
	if err != nil {
		reset(client)
		return
	}
	link := &Link{proxy: p, client: client, server: server, done: make(chan struct{})}
	p.mu.Lock()
	p.links[link] = struct{}{}
	closed := p.closed
	p.mu.Unlock()
	if closed {
		link.Cut()
	}
	link.run()
	p.mu.Lock()
	delete(p.links, link)
	p.mu.Unlock()
}

// reset closes conn with a TCP reset.
func reset(conn net.Conn) {
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = conn.Close()
}
