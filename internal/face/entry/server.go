package entry

import (
	"context"
	"errors"
	"net"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/gofiber/fiber/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/drain"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/listener"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// stoppingRetryAfter is the Retry-After of a host that is stopping or has no
// configuration. The connection closes with the answer, so that the caller's next
// attempt goes to another host.
const stoppingRetryAfter = time.Second

const (
	readTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
)

// Server serves queries from callers.
type Server struct {
	opts     Options
	app      *fiber.App
	listener net.Listener
	inflight atomic.Int64
	// draining makes every answer close its connection, so that the load balancer
	// sends later requests to other hosts.
	draining atomic.Bool
	// schedule is that of the stop, nil before it.
	schedule atomic.Pointer[drain.Schedule]
	// closed makes the server refuse all further queries.
	closed atomic.Bool
	// work is the parent of the contexts of all queries; endWork cancels it.
	work    context.Context
	endWork context.CancelCauseFunc
	// unfinished counts the queries that endWork ended, stopLines bounds their log lines.
	unfinished atomic.Int64
	stopLines  *logging.Budget
	counter    counters
}

// NewServer returns a server; Listen starts it.
func NewServer(opts Options) *Server {
	s := &Server{opts: opts, counter: newCounters(opts.Scope), stopLines: logging.NewBudget(stopLinesPerSecond)}
	s.work, s.endWork = context.WithCancelCause(context.Background())
	s.app = fiber.New(fiber.Config{
		AppName:               "swiftvane",
		DisableStartupMessage: true,
		// Cancelled sub-requests may outlive the handler and refer to the request's
		// data, so the library must not reuse its buffers.
		Immutable:    true,
		BodyLimit:    opts.MaxBodyBytes,
		ReadTimeout:  readTimeout,
		IdleTimeout:  idleTimeout,
		ErrorHandler: s.handleError,
	})
	s.app.Get("/readyz", s.handleReady)
	s.app.Post(callerapi.PathQuery, s.handleQuery)
	return s
}

// Listen opens the caller listener and serves it in the background. It fails if
// the address cannot be opened.
func (s *Server) Listen() error {
	opened, err := listener.Listen(s.opts.ListenAddr, s.opts.Log)
	if err != nil {
		return eris.Wrap(err, "caller listener")
	}
	s.listener = opened
	go func() {
		if err := s.app.Listener(opened); err != nil && !errors.Is(err, net.ErrClosed) {
			s.opts.Log.WithError(err).Error("caller listener failed")
		}
	}()
	return nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Inflight returns the number of queries being served.
func (s *Server) Inflight() int64 { return s.inflight.Load() }

// Drain makes the host report not ready and close each connection after its next
// answer. It continues to serve queries whose deadlines fit the schedule of the stop and
// refuses others. A further call replaces the schedule.
func (s *Server) Drain(schedule *drain.Schedule) {
	s.schedule.Store(schedule)
	s.draining.Store(true)
}

// Shutdown refuses new queries and returns once those in flight are answered or
// ctx ends.
func (s *Server) Shutdown(ctx context.Context) error {
	s.draining.Store(true)
	s.closed.Store(true)
	if s.listener != nil {
		// Callers whose connections are not accepted yet get a refusal, not a reset.
		listener.Drain(s.listener)
	}
	err := s.app.ShutdownWithContext(ctx)
	if s.listener != nil {
		_ = s.listener.Close() // needed if the library has not started to serve it yet
	}
	return eris.Wrap(err, "caller listener")
}

func (s *Server) handleReady(c *fiber.Ctx) error {
	if refusal := s.checkReady(); refusal != nil || s.draining.Load() {
		return c.Status(fiber.StatusServiceUnavailable).SendString("not ready\n")
	}
	return c.SendString("ready\n")
}

func (s *Server) checkReady() *verdict.Error {
	if s.closed.Load() {
		return verdict.Refuse(verdict.HostStopping, stoppingRetryAfter, "this host is stopping")
	}
	return s.opts.Ready()
}

// checkStop refuses a query that this host could not finish before it ends. Another host
// can.
func (s *Server) checkStop(deadline time.Time) *verdict.Error {
	if s.schedule.Load().Fits(deadline) {
		return nil
	}
	return verdict.Refuse(verdict.HostStopping, stoppingRetryAfter, "this host is stopping and ends before the deadline")
}

// handleError answers requests that the HTTP library rejected before a handler ran.
func (s *Server) handleError(c *fiber.Ctx, err error) error {
	refusal := verdict.RefuseField(verdict.BadRequest, wholeRequest, "%s", err)
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge), errors.Is(err, fiber.ErrRequestEntityTooLarge):
		refusal = verdict.RefuseField(verdict.BodyTooLarge, wholeRequest, "at most %d bytes are allowed", s.opts.MaxBodyBytes)
	case errors.Is(err, fiber.ErrNotFound):
		refusal = verdict.RefuseField(verdict.BadRequest, "path", "no such path: %s", c.Path())
	case errors.Is(err, fiber.ErrMethodNotAllowed):
		refusal = verdict.RefuseField(verdict.BadRequest, "method", "%s is not allowed for %s", c.Method(), c.Path())
	}
	return s.writeError(c, "", refusal)
}
