package load

import (
	"context"
	"encoding/json"
	"errors"
	"net/url"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerapi"
	"github.com/swiftvane/swiftvane/internal/support/httpdial"
)

const (
	// answerGrace is how long the client waits for a response after the query's
	// deadline.
	answerGrace = 5 * time.Second
	// dialTimeout bounds the time to connect to a host.
	dialTimeout = 5 * time.Second
	// idleTimeout is how long an unused connection stays open.
	idleTimeout = 10 * time.Second
	// maxResponseBytes bounds the body of a response. The library allocates what a response
	// states.
	maxResponseBytes = 64 << 20
)

// Reasons that the client reports itself, without an answer or error from a host.
const (
	// NoResponse means that the exchange with the host failed, for example because
	// it refused the connection.
	NoResponse verdict.Reason = "client_no_response"
	// NoResponseInTime means that no response arrived within answerGrace after the
	// deadline.
	NoResponseInTime verdict.Reason = "client_timeout"
	// BadResponse means that the response could not be decoded.
	BadResponse verdict.Reason = "client_bad_response"
)

// HTTPClient sends queries over HTTP to a list of hosts in turn. It doesn't retry.
type HTTPClient struct {
	hosts []*fasthttp.HostClient
}

var _ Client = (*HTTPClient)(nil)

// answerSummary is the part of an answer that reports need. The results are not
// decoded.
type answerSummary struct {
	Coverage         callerapi.Coverage `json:"coverage"`
	ExtraSubrequests int                `json:"extra_subrequests"`
}

// NewHTTPClient returns an HTTPClient for the hosts at urls that opens at most
// maxConnections connections to each.
func NewHTTPClient(urls []string, maxConnections int) (*HTTPClient, error) {
	if len(urls) == 0 {
		return nil, errors.New("urls: at least one URL is required")
	}
	c := new(HTTPClient)
	for _, raw := range urls {
		parsed, err := url.Parse(raw)
		if err != nil {
			return nil, err
		}
		isTLS := parsed.Scheme == "https"
		c.hosts = append(c.hosts, &fasthttp.HostClient{
			Addr:                      parsed.Host,
			IsTLS:                     isTLS,
			MaxConns:                  maxConnections,
			MaxIdleConnDuration:       idleTimeout,
			MaxResponseBodySize:       maxResponseBytes,
			MaxIdemponentCallAttempts: 1,
			RetryIfErr:                func(*fasthttp.Request, int, error) (bool, bool) { return false, false },
			Dial:                      httpdial.Func(dialTimeout, isTLS),
		})
	}
	return c, nil
}

// Ask implements Client.
func (c *HTTPClient) Ask(_ context.Context, q *Query) Outcome {
	body, err := json.Marshal(callerapi.Query{
		Workload: q.Workload, Body: q.Body, DeadlineMS: callerapi.Deadline(q.Deadline),
		Services: q.Services, Idempotent: q.Idempotent,
	})
	if err != nil {
		return Outcome{Reason: BadResponse}
	}
	host := c.hosts[q.Number%len(c.hosts)]
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.SetRequestURI("http://" + host.Addr + callerapi.PathQuery)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set(callerapi.HeaderCaller, string(q.Caller))
	req.SetBodyRaw(body)
	if err := host.DoTimeout(req, resp, q.Deadline+answerGrace); err != nil {
		if errors.Is(err, fasthttp.ErrTimeout) {
			return Outcome{Reason: NoResponseInTime}
		}
		return Outcome{Reason: NoResponse}
	}
	if resp.StatusCode() == fasthttp.StatusOK {
		return answerOutcome(resp.Body())
	}
	return errorOutcome(resp.Body())
}

// answerOutcome decodes the body of a response with status 200.
func answerOutcome(body []byte) Outcome {
	var answer answerSummary
	if err := json.Unmarshal(body, &answer); err != nil {
		return Outcome{Reason: BadResponse}
	}
	outcome := Outcome{
		Answered: true, Verdict: verdict.Ran,
		Shards: bounds.Count(answer.Coverage.Shards), Covered: bounds.Count(answer.Coverage.Answered), Extra: bounds.Count(answer.ExtraSubrequests),
	}
	if len(answer.Coverage.Missing) > 0 {
		outcome.Missing = make(map[verdict.Reason]int)
		for _, missing := range answer.Coverage.Missing {
			outcome.Missing[missing.Reason]++
		}
	}
	return outcome
}

// errorOutcome decodes the body of a response with any other status.
func errorOutcome(body []byte) Outcome {
	var failure callerapi.Error
	if err := json.Unmarshal(body, &failure); err != nil || failure.Reason == "" {
		return Outcome{Reason: BadResponse}
	}
	return Outcome{
		Verdict: failure.Verdict, Reason: failure.Reason,
		RetryAfter: bounds.Period(failure.RetryAfterMS, time.Millisecond),
	}
}

// Close closes idle connections.
func (c *HTTPClient) Close() {
	for _, host := range c.hosts {
		host.CloseIdleConnections()
	}
}
