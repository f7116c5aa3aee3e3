package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"sync"
)

// proxy is the path of one machine to a searcher or to the store.
type proxy struct {
	addr, to string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	isCut    bool
}

func startProxy(to string) (*proxy, error) {
	// An address of its own, so that no outgoing connection takes the port while it is cut.
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), 1+rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return nil, err
	}
	p := &proxy{addr: l.Addr().String(), to: to, listener: l, conns: map[net.Conn]bool{}}
	go p.accept(l)
	return p, nil
}

func (p *proxy) accept(l net.Listener) {
	for {
		from, err := l.Accept()
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.isCut = true
	_ = p.listener.Close()
	for c := range p.conns {
		reset(c)
	}
	clear(p.conns)
}

// heal takes connections again.
func (p *proxy) heal() error {
	l, err := net.Listen("tcp", p.addr)
	if err != nil {
		return err
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.listener, p.isCut = l, false
	go p.accept(l)
	return nil
}

func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
