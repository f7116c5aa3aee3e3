package demo

import (
	"context"
	"io"
	"net"
	"net/http"
	"strconv"

	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/support/httpdial"
	"github.com/swiftvane/swiftvane/platform"
)

// platformAnswer holds the status and the number of missing shards of a response.
type platformAnswer struct {
	status  int
	missing int
}

// platformCaller sends requests to one host as the platform's callers do.
type platformCaller struct {
	addr   string
	client *http.Client
}

func newPlatformCaller(addr string) *platformCaller {
	dial := httpdial.Func(demoTimeout, false)
	transport := &http.Transport{DialContext: func(_ context.Context, _, addr string) (net.Conn, error) { return dial(addr) }}
	return &platformCaller{addr: addr, client: &http.Client{Transport: transport}}
}

func (c *platformCaller) ask(ctx context.Context, route, id string) (platformAnswer, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.addr+"/"+route+"/x", nil)
	if err != nil {
		return platformAnswer{}, eris.Wrap(err, "request")
	}
	req.Host = deployment.HostName
	req.Header.Set(platform.HeaderRequestID, id)
	req.Header.Set(platform.HeaderDeadline, strconv.FormatInt(demoTimeout.Milliseconds(), 10))
	resp, err := c.client.Do(req)
	if err != nil {
		return platformAnswer{}, eris.Wrap(err, "ask")
	}
	defer func() { _ = resp.Body.Close() }()
	if _, err := io.Copy(io.Discard, resp.Body); err != nil {
		return platformAnswer{}, eris.Wrap(err, "read the answer")
	}
	a := platformAnswer{status: resp.StatusCode}
	if text := resp.Header.Get(platform.HeaderMissingParts); text != "" {
		if a.missing, err = strconv.Atoi(text); err != nil {
			return platformAnswer{}, eris.Wrap(err, "number of missing shards")
		}
	}
	return a, nil
}
