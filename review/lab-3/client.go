package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// clientConn is one client's connection to a machine.
type clientConn struct {
	raw  net.Conn
	from *bufio.Reader
}

func dialFront(addr string) (*clientConn, error) {
	raw, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return nil, err
	}
	return &clientConn{raw: raw, from: bufio.NewReader(raw)}, nil
}

// result is how a client's request ended.
type result struct {
	status int
	stamp  string
	id     string
	body   []byte
	after  string
	closes bool
	err    error
}

// do sends one request on a kept connection and waits for its answer up to the deadline.
func (c *clientConn) do(method, host, path, id string, body []byte, deadline time.Duration) result {
	var out bytes.Buffer
	fmt.Fprintf(&out, "%s %s HTTP/1.1\r\nHost: %s\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\n", method, path, host, id, deadline.Milliseconds())
	if body != nil {
		fmt.Fprintf(&out, "Content-Length: %d\r\n", len(body))
	}
	out.WriteString("\r\n")
	out.Write(body)
	_ = c.raw.SetDeadline(time.Now().Add(deadline))
	if _, err := c.raw.Write(out.Bytes()); err != nil {
		return result{err: err}
	}
	resp, err := http.ReadResponse(c.from, &http.Request{Method: method})
	if err != nil {
		return result{err: err}
	}
	defer resp.Body.Close()
	got, err := io.ReadAll(resp.Body)
	return result{
		status: resp.StatusCode, stamp: resp.Header.Get("Response-Stamp"), id: resp.Header.Get("Request-Id"),
		body: got, after: resp.Header.Get("Retry-After"), closes: resp.Close, err: err,
	}
}

func (r *result) text() string {
	if r.err != nil {
		return "no answer: " + r.err.Error()
	}
	text := strconv.Itoa(r.status)
	if r.after != "" {
		text += " Retry-After " + r.after
	}
	return text
}
