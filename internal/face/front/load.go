package front

import "github.com/swiftvane/swiftvane/internal/domain/exchange"

// Load is what a server has open at one time.
type Load struct {
	// Connections is the number of open connections.
	Connections int
	// Requests are the requests in progress.
	Requests []*exchange.Request
}

// Load returns the open connections and the requests in progress.
func (s *Server) Load() Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	load := Load{Connections: len(s.conns)}
	for c := range s.conns {
		c.mu.Lock()
		if c.serving != nil {
			load.Requests = append(load.Requests, c.serving.request)
		}
		c.mu.Unlock()
	}
	return load
}
