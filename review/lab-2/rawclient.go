package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"
)

// rawClient is a client with one connection that it keeps open.
type rawClient struct {
	lab    *lab
	conn   net.Conn
	reader *bufio.Reader
}

// dialRaw opens a connection to a daemon, nil if it is refused.
func (l *lab) dialRaw(n *node) *rawClient {
	conn, err := net.DialTimeout("tcp", n.front, time.Second)
	if err != nil {
		return nil
	}
	return &rawClient{lab: l, conn: conn, reader: bufio.NewReader(conn)}
}

// send sends a request with further header lines, and returns its answer.
func (c *rawClient) send(method, path string, deadline time.Duration, extra string, body string) answer {
	id := fmt.Sprintf("%016x", 0x2c41d07b00000000+requestNumbers.Add(1))
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: snap.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n%s", method, path, id, deadline.Milliseconds(), extra)
	if method != "GET" {
		head += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	c.lab.record("sent     %s %s %s, head of %d bytes, from %s", id, method, path, len(head)+2, c.conn.LocalAddr())
	began := time.Now()
	a := answer{id: id}
	_ = c.conn.SetDeadline(began.Add(deadline))
	if _, a.err = io.WriteString(c.conn, head+"\r\n"+body); a.err == nil {
		a = c.receive(a)
	}
	a.took = time.Since(began)
	c.lab.record("answered %s %d stamp %q after %d ms, error %v", id, a.status, a.stamp, a.took.Milliseconds(), a.err)
	return a
}

func (c *rawClient) receive(a answer) answer {
	resp, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		a.err = err
		return a
	}
	a.status, a.stamp, a.header = resp.StatusCode, resp.Header.Get("Response-Stamp"), resp.Header
	a.body, a.err = io.ReadAll(resp.Body)
	resp.Body.Close()
	return a
}

// filler returns a header line of n bytes.
func filler(n int) string { return "Form-Context: " + strings.Repeat("f", n-16) + "\r\n" }
