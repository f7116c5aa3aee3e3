// Package callerclient is a client for the tier's API for callers. It implements
// safe retries: it resends a request only if the tier reported that it did not run
// and gave a Retry-After, and always under the same id.
package callerclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/google/uuid"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
	"github.com/swiftvane/swiftvane/internal/support/wait"
)

const (
	// exchangeMargin is added to a query's deadline to allow for the round trip.
	exchangeMargin = time.Second
	// exchangeDefault bounds the exchange of a query without a deadline.
	exchangeDefault = 70 * time.Second
)

// Reasons set by the client itself.
const (
	// NotSent means that no byte of the request left this process.
	NotSent verdict.Reason = "not_sent"
	// ConnectionLost means that the connection ended before the answer arrived.
	ConnectionLost verdict.Reason = "connection_lost"
)

// Client sends queries to one or more hosts of the tier.
type Client struct {
	// URLs are the base URLs of hosts. The next one is tried only if a request
	// could not be sent to the one before.
	URLs   []string
	Caller model.CallerID
	// MaxAttempts bounds the number of attempts per request; zero means one.
	MaxAttempts int
	HTTP        *httpjson.Client
}

// NewRequestID returns a new id that contains its issue time.
func NewRequestID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("request id: %w", err)
	}
	return id.String(), nil
}

// Ask sends q and returns its final answer. It retries under the same id, only if
// the verdict is not_run with a Retry-After and ctx allows the wait, with at most
// MaxAttempts attempts. The error is a *verdict.Error.
func (c *Client) Ask(ctx context.Context, q callerapi.Query) (*callerapi.Answer, error) {
	if q.RequestID == "" {
		id, err := NewRequestID()
		if err != nil {
			return nil, verdict.Refuse(verdict.Internal, 0, "%s", err)
		}
		q.RequestID = id
	}
	issuedAt := time.Now()
	for attempt := 1; ; attempt++ {
		answer, failed := c.sendToAny(&q, issuedAt)
		if failed == nil {
			return answer, nil
		}
		retry := failed.Verdict == verdict.NotRun && failed.RetryAfter > 0 && attempt < c.MaxAttempts
		if !retry || !sleep(ctx, failed.RetryAfter) {
			return nil, failed
		}
	}
}

// sendToAny sends q to the first URL to which it can be sent.
func (c *Client) sendToAny(q *callerapi.Query, issuedAt time.Time) (*callerapi.Answer, *verdict.Error) {
	failed := verdict.RefuseField(verdict.BadRequest, "caller-url", "no URL is given")
	for _, url := range c.URLs {
		answer, err := c.sendOnce(url, q, issuedAt)
		if err == nil {
			return answer, nil
		}
		failed = err
		if err.Verdict != verdict.NotRun || err.Reason != NotSent {
			break
		}
	}
	return nil, failed
}

// sendOnce sends q once to url. The error has reason NotSent if the request could
// not be sent.
func (c *Client) sendOnce(url string, q *callerapi.Query, issuedAt time.Time) (*callerapi.Answer, *verdict.Error) {
	timeout := exchangeDefault
	if q.DeadlineMS != nil {
		timeout = bounds.Period(*q.DeadlineMS, time.Millisecond) + exchangeMargin
	}
	header := map[string]string{callerapi.HeaderIssuedAt: issuedAt.UTC().Format(time.RFC3339Nano)}
	if c.Caller != "" {
		header[callerapi.HeaderCaller] = string(c.Caller)
	}
	resp, err := c.HTTP.Do(&httpjson.Request{
		Method: http.MethodPost, URL: strings.TrimSuffix(url, "/") + callerapi.PathQuery, Header: header, Body: q, Timeout: timeout,
	})
	if err != nil {
		return nil, sendFailure(err)
	}
	if resp.Status == http.StatusOK {
		return decodeAnswer(resp.Body, q)
	}
	return nil, decodeFailure(resp)
}

// sendFailure returns the error of a failed exchange: a request that was not sent
// did not run, any other may have run.
func sendFailure(err error) *verdict.Error {
	if _, notSent := errors.AsType[*httpjson.NotSentError](err); notSent {
		return verdict.Refuse(NotSent, 0, "%s", err)
	}
	return &verdict.Error{Verdict: verdict.Unknown, Reason: ConnectionLost, Message: err.Error()}
}

func decodeAnswer(body []byte, q *callerapi.Query) (*callerapi.Answer, *verdict.Error) {
	answer := &callerapi.Answer{}
	if err := json.Unmarshal(body, answer); err != nil {
		return nil, &verdict.Error{Verdict: verdict.Ran, Reason: verdict.ReplyTruncated, Message: err.Error()}
	}
	if answer.RequestID != q.RequestID {
		return nil, &verdict.Error{
			Verdict: verdict.Unknown, Reason: verdict.ReplyMismatch,
			Message: fmt.Sprintf("the answer is for request %q", answer.RequestID),
		}
	}
	return answer, nil
}

// decodeFailure returns the error in an answer. The verdict is Unknown if the body
// has none, since the answer then comes from an intermediary such as a proxy.
func decodeFailure(resp *httpjson.Response) *verdict.Error {
	var f callerapi.Error
	if err := json.Unmarshal(resp.Body, &f); err != nil || f.Reason == "" {
		return &verdict.Error{
			Verdict: verdict.Unknown, Reason: verdict.Internal,
			Message: fmt.Sprintf("status %d with no verdict", resp.Status),
		}
	}
	return &verdict.Error{
		Verdict: f.Verdict, Reason: f.Reason, Field: f.Field, Message: f.Message,
		RetryAfter: bounds.Period(f.RetryAfterMS, time.Millisecond),
	}
}

// sleep waits for d. It returns false at once if d exceeds ctx's deadline, and when
// ctx ends.
func sleep(ctx context.Context, d time.Duration) bool {
	if until, ok := ctx.Deadline(); ok && time.Until(until) < d {
		return false
	}
	return wait.For(ctx, d)
}
