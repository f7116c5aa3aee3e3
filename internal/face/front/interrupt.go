package front

import (
	"net/http"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// Interrupt withdraws the requests in progress and answers them with a failure that doesn't
// say whether they ran. Requests that arrive later are refused.
func (s *Server) Interrupt() {
	s.interrupted.Store(true)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		c.interrupt()
	}
}

func (c *conn) interrupt() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.serving != nil {
		c.serving.withdraw()
	}
}

// serveRequest returns the answer to a request.
func (c *conn) serveRequest(j *job) *exchange.Answer {
	c.setServing(j)
	defer c.setServing(nil)
	// Interrupt sets the flag before it looks for jobs, so it misses none.
	if c.server.interrupted.Load() {
		return &exchange.Answer{
			Status: http.StatusServiceUnavailable, Reason: exchange.HostStopping, RetryAfter: exchange.RetryElsewhere, CloseConnection: true,
		}
	}
	a := c.server.opts.Handler.Serve(j.request, j.gone)
	if a.Reason == exchange.CallerLeft && c.server.interrupted.Load() {
		return &exchange.Answer{Status: http.StatusGatewayTimeout, Reason: exchange.HostStopping, CloseConnection: true, Trace: a.Trace}
	}
	return a
}

func (c *conn) setServing(j *job) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.serving = j
}
