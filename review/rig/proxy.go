package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the link of one machine to one searcher.
type proxy struct {
	target string
	ip     string

	mu       sync.Mutex
	addr     string
	listener net.Listener
	conns    map[net.Conn]bool
}

func startProxy(ip, target string) (*proxy, error) {
	p := &proxy{target: target, ip: ip, conns: map[net.Conn]bool{}}
	return p, p.open(net.JoinHostPort(ip, "0"))
}

func (p *proxy) open(addr string) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	p.listener, p.addr = l, l.Addr().String()
	p.mu.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go p.pass(c)
		}
	}()
	return nil
}

// cut resets the connections and refuses new ones until heal is called.
func (p *proxy) cut() {
	p.mu.Lock()
	defer p.mu.Unlock()
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
}

func (p *proxy) heal() error { return p.open(p.addr) }

func (p *proxy) pass(from net.Conn) {
	to, err := net.Dial("tcp", p.target)
	if err != nil {
		reset(from)
		return
	}
	p.mu.Lock()
	p.conns[from], p.conns[to] = true, true
	p.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { copyTo(to, from) })
	both.Go(func() { copyTo(from, to) })
	both.Wait()
	p.mu.Lock()
	delete(p.conns, from)
	delete(p.conns, to)
	p.mu.Unlock()
	_, _ = from.Close(), to.Close()
}

// copyTo copies until the end of the input and passes on how it ended.
func copyTo(to, from net.Conn) {
	if _, err := io.Copy(to, from); err != nil {
		reset(to)
		reset(from)
		return
	}
	if half, ok := to.(*net.TCPConn); ok {
		_ = half.CloseWrite()
	}
}
