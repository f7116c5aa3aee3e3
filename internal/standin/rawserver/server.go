// Package rawserver is a stand-in for HTTP servers that answer with given bytes and may close
// the connection in order after any of them. A server runs one goroutine that accepts
// connections and one for each connection.
package rawserver

import (
	"bufio"
	"bytes"
	"io"
	"net"
	"net/http"
	"sync/atomic"
)

// Answer returns the bytes that answer a request, and whether the connection closes after them.
type Answer func(r *http.Request, body []byte) (reply []byte, closes bool)

// Again returns the bytes that follow the answer to a request, over and over, until the client closes
// the connection; none if the answer has an end.
type Again func(r *http.Request) []byte

// Server is a running stand-in.
type Server struct {
	listener net.Listener
	answer   Answer
	again    Again
	requests atomic.Int64
	sent     atomic.Int64
}

// repeatBytes is the least length of what Repeat returns.
const repeatBytes = 16 << 10

// Repeat returns an Again with a repeated part, for all requests.
func Repeat(part string) Again {
	block := bytes.Repeat([]byte(part), 1+repeatBytes/len(part))
	return func(*http.Request) []byte { return block }
}

// Start starts a server on a free loopback port.
func Start(answer Answer) (*Server, error) {
	return StartEndless(answer, func(*http.Request) []byte { return nil })
}

// StartEndless starts a server on a free loopback port whose answers may have no end.
func StartEndless(answer Answer, again Again) (*Server, error) {
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
		for again := s.again(r); err == nil && len(again) > 0; {
			err = s.write(conn, again)
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
