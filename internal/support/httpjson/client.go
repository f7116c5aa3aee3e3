// Package httpjson sends JSON requests over HTTP for the clients of the
// command-line tool. It never retries a request.
package httpjson

import (
	"encoding/json"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/support/httpdial"
)

const (
	// maxResponseBytes bounds the body of a response.
	maxResponseBytes = 256 << 20
	// maxConnsPerHost bounds the connections to one address.
	maxConnsPerHost = 4096
	// idleTimeout is the time without use after which a connection is closed.
	idleTimeout = 30 * time.Second
	// dialTimeout bounds opening a connection.
	dialTimeout = 3 * time.Second
)

// Request is one HTTP request.
type Request struct {
	Method string
	URL    string
	Header map[string]string
	// Body is encoded as JSON. A []byte is sent as it is, and nil sends no body.
	Body any
	// Timeout bounds the request and its response; zero means DefaultTimeout.
	Timeout time.Duration
}

// DefaultTimeout bounds a request without a Timeout.
const DefaultTimeout = 10 * time.Second

// Response is the response to one request, whatever its status.
type Response struct {
	Status     int
	RetryAfter string
	Body       []byte
}

// Client sends requests. It is safe for concurrent use.
type Client struct {
	http *fasthttp.Client
}

// New returns a client.
func New() *Client {
	return &Client{http: &fasthttp.Client{
		ConfigureClient:           setDial,
		MaxConnsPerHost:           maxConnsPerHost,
		MaxIdleConnDuration:       idleTimeout,
		MaxResponseBodySize:       maxResponseBytes,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
		NoDefaultUserAgentHeader:  true,
	}}
}

// setDial sets how the client of one address opens connections.
func setDial(host *fasthttp.HostClient) error {
	dial := httpdial.Func(dialTimeout, host.IsTLS)
	host.Dial = func(addr string) (net.Conn, error) {
		conn, err := dial(addr)
		if err != nil {
			return nil, &NotSentError{Err: err}
		}
		return conn, nil
	}
	return nil
}

// Do sends r and returns the response. An error that wraps a *NotSentError means
// that no byte of the request left this process.
func (c *Client) Do(r *Request) (*Response, error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	if err := r.fill(req); err != nil {
		return nil, &NotSentError{Err: err}
	}
	timeout := r.Timeout
	if timeout <= 0 {
		timeout = DefaultTimeout
	}
	if err := c.http.DoTimeout(req, resp, timeout); err != nil {
		return nil, fmt.Errorf("%s %s: %w", r.Method, r.URL, err)
	}
	return &Response{
		Status:     resp.StatusCode(),
		RetryAfter: string(resp.Header.Peek(fasthttp.HeaderRetryAfter)),
		Body:       append([]byte(nil), resp.Body()...),
	}, nil
}

// Close closes idle connections.
func (c *Client) Close() { c.http.CloseIdleConnections() }

// fill copies r into req.
func (r *Request) fill(req *fasthttp.Request) error {
	req.Header.SetMethod(r.Method)
	req.SetRequestURI(r.URL)
	for name, value := range r.Header {
		req.Header.Set(name, value)
	}
	if r.Body == nil {
		return nil
	}
	req.Header.SetContentType("application/json")
	if raw, ok := r.Body.([]byte); ok {
		req.SetBody(raw)
		return nil
	}
	body, err := json.Marshal(r.Body)
	req.SetBody(body)
	return err
}
