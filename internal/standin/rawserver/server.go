// Package rawserver is a stand-in for HTTP servers that answer with given bytes and may close
// the connection in order after any of them. A server runs one goroutine that accepts
// connections and one for each connection.
package rawserver

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Answer returns the bytes that answer a request, and whether the connection closes after them.
type Answer func(r *http.Request, body []byte) (reply []byte, closes bool)

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	answer   Answer
	// again is sent after each reply until the client closes the connection, if it isn't empty.
	again    []byte
	requests atomic.Int64
	sent     atomic.Int64
}

// Start starts a server on a free loopback port.
func Start(answer Answer) (*Server, error) { return StartEndless(answer, nil) }

// StartEndless starts a server on a free loopback port that goes on with the bytes of again, over
// and over, after each answer.
func StartEndless(answer Answer, again []byte) (*Server, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, answer: answer, again: again}
	go s.accept()
	return s, nil
}

// Addr returns the address that the server listens on.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Requests returns the number of requests that arrived so far.
func (s *Server) Requests() int { return int(s.requests.Load()) }

// Sent returns the number of bytes that were sent so far.
func (s *Server) Sent() int64 { return s.sent.Load() }

// Close stops the server; its connections end with their clients.
func (s *Server) Close() { _ = s.listener.Close() }

func (s *Server) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		go s.serve(conn)
	}
}

// serve answers requests. Each is read to its end, so that the connection closes without a reset.
func (s *Server) serve(conn net.Conn) {
	defer func() { _ = conn.Close() }()
	from := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		s.requests.Add(1)
		reply, closes := s.answer(r, body)
		err = s.write(conn, reply)
		for err == nil && len(s.again) > 0 {
			err = s.write(conn, s.again)
		}
		if err != nil || closes {
			return
		}
	}
}

func (s *Server) write(conn net.Conn, raw []byte) error {
	n, err := conn.Write(raw)
	s.sent.Add(int64(n))
	return err
}
