// Package front serves callers' connections.
//
// Each connection has two goroutines: one reads requests and notices that the
// caller has left, the other serves them one after the other and writes the
// answers. A connection never has two requests in service at once.
package front

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// Handler serves requests.
type Handler interface {
	// Limits returns the limits in force, or false where none are known.
	Limits() (catalog.Limits, bool)
	// Serve returns the answer; gone is closed when the caller has left.
	Serve(r *exchange.Request, gone <-chan struct{}) *exchange.Answer
}

// Observer is told of each answer.
type Observer interface {
	Answered(r *exchange.Request, a *exchange.Answer, took time.Duration)
}

// Options are what a Server needs.
type Options struct {
	Codec    exchange.CallerCodec
	Handler  Handler
	Observer Observer
	Log      logrus.FieldLogger
}

// defaultLimits hold until a configuration is known.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   256 << 10,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// Server accepts and serves callers' connections.
type Server struct {
	opts     Options
	stopping atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	done  sync.WaitGroup
}

// New returns a server.
func New(opts Options) *Server { return &Server{opts: opts, conns: map[*conn]bool{}} }

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(l net.Listener) error {
	for {
		raw, err := l.Accept()
		if err != nil {
			return err
		}
		s.add(raw)
	}
}

func (s *Server) add(raw net.Conn) {
	c := newConn(s, raw)
	s.mu.Lock()
	s.conns[c] = true
	s.done.Add(2)
	s.mu.Unlock()
	go c.read()
	go c.serve()
}

// Retire makes each connection close behind its next answer.
func (s *Server) Retire() { s.stopping.Store(true) }

// CloseIdle closes the connections that have no request.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Wait returns once all connections are closed, or at the deadline; it reports
// whether all were.
func (s *Server) Wait(deadline time.Time) bool {
	all := make(chan struct{})
	go func() {
		s.done.Wait()
		close(all)
	}()
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-all:
		return true
	case <-timer.C:
		return false
	}
}

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

func (s *Server) limits() catalog.Limits {
	limits, ok := s.opts.Handler.Limits()
	if !ok {
		return defaultLimits
	}
	return limits
}
