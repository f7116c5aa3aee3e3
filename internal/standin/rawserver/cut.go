package rawserver

import (
	"fmt"
	"net/http"
	"sync/atomic"
)

// Cut is an Answer that ends after a number of bytes.
type Cut struct {
	whole func(r *http.Request, body []byte) []byte
	after atomic.Int64
	// size is the length of the last reply before the cut.
	size atomic.Int64
}

// NewCut returns a Cut of the reply that whole returns. It is complete until After is called.
func NewCut(whole func(r *http.Request, body []byte) []byte) *Cut {
	c := &Cut{whole: whole}
	c.after.Store(-1)
	return c
}

// After ends the replies after n bytes.
func (c *Cut) After(n int) { c.after.Store(int64(n)) }

// Size returns the length of the last reply before it was cut, in bytes.
func (c *Cut) Size() int { return int(c.size.Load()) }

// Answer implements Answer; the connection closes after each reply.
func (c *Cut) Answer(r *http.Request, body []byte) (reply []byte, closes bool) {
	reply = c.whole(r, body)
	c.size.Store(int64(len(reply)))
	if n := c.after.Load(); n >= 0 {
		reply = reply[:min(int(n), len(reply))]
	}
	return reply, true
}

// Framings returns a reply with the status line, header lines and body in each way in which
// HTTP/1.1 delimits a body, by name.
func Framings(status, headers, body string) map[string][]byte {
	head := "HTTP/1.1 " + status + "\r\n" + headers
	half := len(body) / 2
	return map[string][]byte{
		"length":    fmt.Appendf(nil, "%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"interim":   fmt.Appendf(nil, "HTTP/1.1 103 Early Hints\r\n\r\n%sContent-Length: %d\r\n\r\n%s", head, len(body), body),
		"chunks":    fmt.Appendf(nil, "%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n%x\r\n%s\r\n0\r\n\r\n", head, half, body[:half], len(body)-half, body[half:]),
		"no length": fmt.Appendf(nil, "%s\r\n%s", head, body),
	}
}
