package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"
)

var requestNumbers atomic.Int64

// clients share connections that stay open between requests.
var clients = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}}

// answer is what a client got.
type answer struct {
	id     string
	status int
	stamp  string
	body   []byte
	err    error
	header http.Header
	took   time.Duration
}

// send sends one request attempt and waits until its deadline.
func (l *lab) send(n *node, method, path string, deadline time.Duration, body []byte) answer {
	id := fmt.Sprintf("%016x", 0x1c41d07b00000000+requestNumbers.Add(1))
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+path, bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	req.Host = "snap.example"
	req.Header["Request-Id"] = []string{id}
	req.Header["Deadline-Ms"] = []string{fmt.Sprint(deadline.Milliseconds())}
	req.Header["User-Agent"] = nil
	l.record("sent     %s %s %s to %s", id, method, path, n.name)
	began := time.Now()
	a := answer{id: id}
	resp, err := clients.Do(req)
	if err == nil {
		a.status, a.stamp, a.header = resp.StatusCode, resp.Header.Get("Response-Stamp"), resp.Header
		a.body, err = io.ReadAll(resp.Body)
		resp.Body.Close()
	}
	a.err, a.took = err, time.Since(began)
	l.record("answered %s %d stamp %q after %d ms, error %v", id, a.status, a.stamp, a.took.Milliseconds(), err)
	return a
}
