package platform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Paths of the platform's service.
const (
	PathConfig = "/v1/config"
	PathHosts  = "/v1/hosts"
)

const (
	// MaxValueBytes bounds one value of a document, in bytes.
	MaxValueBytes = 1 << 20
	// MaxResponseBytes bounds the body of a response, in bytes.
	MaxResponseBytes = 64 << 20
	// callTimeout is the timeout of a call, not counting the wait that it asks for.
	callTimeout = 5 * time.Second
)

// HTTPClient reads the platform over HTTP or HTTPS, with one connection per call.
// It is safe for concurrent use.
type HTTPClient struct {
	addr string
	// prefix is put before each path; it is empty or has no trailing slash.
	prefix string
	dial   func(ctx context.Context, network, addr string) (net.Conn, error)
}

var _ Client = (*HTTPClient)(nil)

// NewHTTPClient returns a client of the platform at addr, a host and port.
func NewHTTPClient(addr string) *HTTPClient {
	return &HTTPClient{addr: addr, dial: new(net.Dialer).DialContext}
}

// Document implements Client. Its errors are *Error.
func (c *HTTPClient) Document(ctx context.Context, after model.Revision, wait time.Duration) (*config.Document, error) {
	doc := new(config.Document)
	if err := c.get(ctx, PathConfig, after, wait, doc); err != nil {
		return nil, err
	}
	for key, value := range doc.Keys {
		if len(value) > MaxValueBytes {
			return nil, &Error{Kind: TooLarge, Path: PathConfig, Key: key}
		}
	}
	return doc, nil
}

// HostList implements Client. Its errors are *Error.
func (c *HTTPClient) HostList(ctx context.Context, after model.Revision, wait time.Duration) (*model.HostList, error) {
	list := new(model.HostList)
	if err := c.get(ctx, PathHosts, after, wait, list); err != nil {
		return nil, err
	}
	return list, nil
}

// get fetches path and decodes its JSON into v.
func (c *HTTPClient) get(ctx context.Context, path string, after model.Revision, wait time.Duration, v any) error {
	ctx, cancel := context.WithTimeout(ctx, wait+callTimeout)
	defer cancel()
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	uri := fmt.Sprintf("%s?after=%d&wait_ms=%d", path, after, wait.Milliseconds())
	if err := c.fetch(ctx, uri, resp); err != nil {
		kind := Unreachable
		if errors.Is(err, fasthttp.ErrBodyTooLarge) {
			kind = TooLarge
		}
		return &Error{Kind: kind, Path: path, Cause: err}
	}
	if status := resp.StatusCode(); status != fasthttp.StatusOK {
		return &Error{Kind: BadStatus, Path: path, Status: status}
	}
	if err := json.Unmarshal(resp.Body(), v); err != nil {
		return &Error{Kind: Malformed, Path: path, Cause: err}
	}
	return nil
}

// fetch sends one GET on a new connection, which is closed when ctx ends.
func (c *HTTPClient) fetch(ctx context.Context, uri string, resp *fasthttp.Response) error {
	conn, err := c.dial(ctx, "tcp", c.addr)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	defer stop()
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetHost(c.addr)
	req.SetRequestURI(c.prefix + uri)
	req.SetConnectionClose()
	writer := bufio.NewWriter(conn)
	if err := req.Write(writer); err != nil {
		return err
	}
	if err := writer.Flush(); err != nil {
		return err
	}
	err = resp.ReadLimitBody(bufio.NewReader(httpreply.NewConn(conn)), MaxResponseBytes)
	if ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
