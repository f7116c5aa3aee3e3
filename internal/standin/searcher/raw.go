package searcher

import (
	"io"
	"net"
)

// rawAnswer returns the bytes to send in place of the answer to a request, none for the answer.
func (s *Searcher) rawAnswer(requestID string) (raw []byte, closes bool) {
	if s.opts.Raw == nil {
		return nil, false
	}
	return s.opts.Raw(s.opts.ID, requestID, Signature(s.opts.Service, s.opts.ID, requestID))
}

// sendBytes sends bytes and, unless closes is set, waits until the client closes the connection.
func (s *Searcher) sendBytes(c net.Conn, raw []byte, closes bool) {
	s.addHeld(1)
	defer s.addHeld(-1)
	if _, err := c.Write(raw); err != nil || closes {
		return
	}
	_, _ = io.Copy(io.Discard, c)
}

func (s *Searcher) addHeld(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.held += n
}

// Held returns the number of connections that are open although raw bytes were sent on them.
func (s *Searcher) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.held
}
