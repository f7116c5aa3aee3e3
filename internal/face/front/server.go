// Package front serves callers' connections.
//
// Each connection has two goroutines: one reads requests and detects that the
// caller has closed the connection, the other serves the requests in order and
// writes the answers. A connection serves at most one request at a time.
package front

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// Handler serves requests.
type Handler interface {
	// Limits returns the limits in force, or false before there is a configuration.
	Limits() (catalog.Limits, bool)
	// Serve returns the answer to a request; gone is closed when the caller has
	// closed the connection or the request is withdrawn for another reason. The reason of
	// the answer is then exchange.CallerLeft.
	Serve(r *exchange.Request, gone <-chan struct{}) *exchange.Answer
}

// Observer is called with each answer and the time from the request's arrival to
// its answer. It must be safe for concurrent use.
type Observer interface {
	Answered(r *exchange.Request, a *exchange.Answer, took time.Duration)
}

// Options configures a Server.
type Options struct {
	Codec    exchange.CallerCodec
	Handler  Handler
	Observer Observer
	// Memory bounds the requests and answers of all connections; nil for no limit.
	Memory *bytebudget.Budget
	Log    logrus.FieldLogger
}

// defaultLimits apply until there is a configuration.
var defaultLimits = catalog.Limits{
	MaxHeaderBytes: 16 << 10,
	MaxBodyBytes:   256 << 10,
	HeaderTimeout:  3 * time.Second,
	IdleTimeout:    15 * time.Second,
}

// Server accepts and serves callers' connections.
type Server struct {
	opts     Options
	draining atomic.Bool
	// interrupted is set once requests are not served any more.
	interrupted atomic.Bool

	mu    sync.Mutex
	conns map[*conn]bool
	// done counts the goroutines of all connections.
	done sync.WaitGroup
	// lines bounds the log lines of each message.
	lines *logging.Budget
}

// New returns a server without connections.
func New(opts Options) *Server {
	return &Server{opts: opts, conns: map[*conn]bool{}, lines: logging.NewBudget(linesPerSecond)}
}

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

// Drain makes each connection close after its next answer.
func (s *Server) Drain() { s.draining.Store(true) }

// CloseIdle closes the connections without a request in progress.
func (s *Server) CloseIdle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.closeIfIdle()
	}
}

// Wait waits until all connections are closed, at most until the deadline, and
// reports whether they are.
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
