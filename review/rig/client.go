package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"
)

// hostName is the host name of all routes.
const hostName = "pupu76.example"

// client sends requests to the front addresses of machines.
type client struct {
	rec  *record
	http http.Client
	last atomic.Int64
}

func newClient(rec *record) *client {
	return &client{rec: rec, http: http.Client{Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}}
}

// answer is what a client got; status 0 stands for a closed connection or no answer.
type answer struct {
	id     string
	sent   time.Time
	status int
	stamp  string
}

// send sends one request with an id of its own to a machine.
func (c *client) send(n *node, path string, deadline time.Duration) answer {
	a := answer{id: fmt.Sprintf("q%d", c.last.Add(1)), sent: time.Now()}
	c.rec.write("sent", fields{"request": a.id, "machine": n.name, "path": path})
	req, err := http.NewRequest(http.MethodGet, "http://"+n.ip+":"+frontPort+path, nil)
	if err != nil {
		panic(err)
	}
	req.Host = hostName
	req.Header.Set("Request-Id", a.id)
	req.Header.Set("Deadline-Ms", strconv.FormatInt(deadline.Milliseconds(), 10))
	client := c.http
	client.Timeout = deadline
	resp, err := client.Do(req)
	if err == nil {
		_, err = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
	}
	if err == nil {
		a.status, a.stamp = resp.StatusCode, resp.Header.Get("Response-Stamp")
	}
	c.rec.write("answered", fields{"request": a.id, "machine": n.name, "status": a.status, "stamp": a.stamp})
	return a
}
