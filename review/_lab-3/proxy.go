package main

import (
	"io"
	"net"
	"sync"
)

// proxy is the path of one machine to one searcher.
type proxy struct {
	addr, to string
	listener net.Listener

	mu    sync.Mutex
	conns map[net.Conn]bool
	isCut bool
}

func startProxy(to string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), to: to, listener: l, conns: map[net.Conn]bool{}}
	go p.accept()
	return p, nil
}

func (p *proxy) accept() {
	for {
		from, err := p.listener.Accept()
		if err != nil {
			return
		}
		to, err := net.Dial("tcp", p.to)
		if err != nil {
			reset(from)
			continue
		}
		if !p.add(from, to) {
			reset(from)
			reset(to)
			continue
		}
		go p.pass(from, to)
		go p.pass(to, from)
	}
}

func (p *proxy) add(conns ...net.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range conns {
		p.conns[c] = true
	}
	return !p.isCut
}

func (p *proxy) pass(from, to net.Conn) {
	_, _ = io.Copy(to, from)
	_ = from.Close()
	_ = to.Close()
}

// cut resets the connections and refuses new ones.
func (p *proxy) cut() {
	_ = p.listener.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	for c := range p.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
