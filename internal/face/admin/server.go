// Package admin serves the administration API on a listener of its own.
//
// Liveness and readiness checks need no token, since load balancers send none; all
// other paths need a bearer token. The package holds no state of the fleet: it
// serves data from its Sources. Each request runs on a goroutine of the HTTP
// server; calls to sources do not block.
package admin

import (
	"context"
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/gofiber/fiber/v2"
	"github.com/gofiber/fiber/v2/middleware/adaptor"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

const (
	// maxDocumentBytes bounds the size of a candidate document.
	maxDocumentBytes = 64 << 20
	// readTimeout bounds the time to read one request.
	readTimeout = 30 * time.Second
	// idleTimeout is the time after which an idle connection is closed.
	idleTimeout = 2 * time.Minute
	// maxConnections bounds the number of open connections.
	maxConnections = 1024
)

// Options configures a Server.
type Options struct {
	Sources    Sources
	ReadToken  []byte
	WriteToken []byte
	// Metrics serves the metrics endpoint.
	Metrics http.Handler
	Scope   metrics.Scope
	Log     logrus.FieldLogger
}

// Server serves the administration API.
type Server struct {
	sources Sources
	tokens  tokens
	scope   metrics.Scope
	log     logrus.FieldLogger
	app     *fiber.App
	// stopping is cancelled by Shutdown and ends waiting requests.
	stopping context.Context
	stop     context.CancelFunc
	waits    chan struct{}

	mu       sync.Mutex
	listener net.Listener
}

// New returns a server; Serve starts it.
func New(o Options) *Server {
	stopping, stop := context.WithCancel(context.Background())
	s := &Server{
		sources:  o.Sources,
		tokens:   newTokens(o.ReadToken, o.WriteToken),
		scope:    o.Scope.SubScope("admin"),
		log:      o.Log,
		stopping: stopping,
		stop:     stop,
		waits:    make(chan struct{}, maxWaits),
	}
	s.app = fiber.New(fiber.Config{
		DisableStartupMessage: true,
		Immutable:             true,
		BodyLimit:             maxDocumentBytes,
		ReadTimeout:           readTimeout,
		IdleTimeout:           idleTimeout,
		Concurrency:           maxConnections,
		ErrorHandler:          s.onError,
	})
	s.routes(o.Metrics)
	return s
}

func (s *Server) routes(metricsHandler http.Handler) {
	read, write := s.requireScope(scopeRead), s.requireScope(scopeWrite)
	s.app.Get(adminapi.PathHealth, s.getHealth)
	s.app.Get(adminapi.PathReady, s.getReady)
	s.app.Get(adminapi.PathMetrics, read, adaptor.HTTPHandler(metricsHandler))
	s.app.Get(adminapi.PathStatus, read, s.getStatus)
	s.app.Get(adminapi.PathConfig, read, s.getConfig)
	s.app.Post(adminapi.PathConfigCheck, read, s.postConfigCheck)
	s.app.Get(adminapi.PathConfigWait, read, s.getConfigWait)
	s.app.Get(adminapi.PathTargets, read, s.getTargets)
	s.app.Get(adminapi.PathQuarantine, read, s.getQuarantine)
	s.app.Delete(adminapi.PathQuarantine+"/:fingerprint", write, s.deleteQuarantine)
	s.app.Post(adminapi.PathDrain, write, s.postDrain)
}

// Serve accepts connections on ln until Shutdown. It returns nil after Shutdown.
func (s *Server) Serve(ln net.Listener) error {
	if !s.setListener(ln) {
		return ln.Close()
	}
	err := s.app.Listener(ln)
	if s.stopping.Err() != nil {
		return nil
	}
	return err
}

// setListener stores ln for Shutdown to close. It returns false, and leaves ln to the
// caller, if Shutdown was already called.
func (s *Server) setListener(ln net.Listener) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.stopping.Err() != nil {
		return false
	}
	s.listener = ln
	return true
}

// Shutdown ends waiting requests, waits for the others to finish and closes the
// listener. It returns the error of ctx if they do not finish in time.
func (s *Server) Shutdown(ctx context.Context) error {
	s.mu.Lock()
	s.stop()
	ln := s.listener
	s.mu.Unlock()
	err := s.app.ShutdownWithContext(ctx)
	if ln != nil {
		_ = ln.Close() // needed if the library has not started to serve it yet
	}
	return err
}

// refuse answers with an error, counts it by reason and logs it.
func (s *Server) refuse(c *fiber.Ctx, status int, reason adminapi.Reason, field, message string) error {
	s.scope.Tagged(map[string]string{"reason": string(reason)}).Counter("refused").Inc(1)
	s.log.WithFields(logrus.Fields{"reason": string(reason), "path": c.Path(), "remote": c.IP()}).Info("administration request refused")
	return c.Status(status).JSON(&adminapi.Error{Reason: reason, Field: field, Message: message})
}

// onError answers requests that failed outside a handler or whose handler returned
// an error.
func (s *Server) onError(c *fiber.Ctx, err error) error {
	fiberErr, ok := errors.AsType[*fiber.Error](err)
	switch {
	case !ok:
		s.log.WithError(err).Error("administration request failed")
		return s.refuse(c, fiber.StatusInternalServerError, adminapi.Internal, "", "internal error")
	case fiberErr.Code == fiber.StatusNotFound || fiberErr.Code == fiber.StatusMethodNotAllowed:
		return s.refuse(c, fiberErr.Code, adminapi.NotFound, "", "no such path or method")
	default:
		return s.refuse(c, fiberErr.Code, adminapi.BadRequest, "", fiberErr.Message)
	}
}
