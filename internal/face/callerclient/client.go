// Package callerclient asks the tier as a caller that handles retries and
// request ids rightly: it sends a request again only where the tier said that
// it did not run and when to ask again, and always under the same id.
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

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

const (
	// exchangeMargin is added to a query's deadline for the way there and back.
	exchangeMargin = time.Second
	// exchangeDefault bounds an exchange of a query that names no deadline.
	exchangeDefault = 70 * time.Second
)

// Reasons that the client itself gives.
const (
	// NotSent means that no byte of the request left this process.
	NotSent verdict.Reason = "not_sent"
	// ConnectionLost means that the connection ended before the answer came.
	ConnectionLost verdict.Reason = "connection_lost"
)

// Client asks one or more hosts of the tier.
type Client struct {
	// URLs are the base URLs of hosts. The next one is tried only where a
	// request could not be sent.
	URLs   []string
	Caller model.CallerID
	// MaxAttempts bounds how often one request is sent; zero means once.
	MaxAttempts int
	HTTP        *httpjson.Client
}

// NewRequestID returns an id that carries its issue time.
func NewRequestID() (string, error) {
	id, err := uuid.NewV7()
	if err != nil {
		return "", fmt.Errorf("request id: %w", err)
	}
	return id.String(), nil
}

// Ask sends q until it has its final answer. It asks again only if the verdict
// is not_run and the tier said when, under the same id, at most MaxAttempts
// times, and only while ctx allows the wait. Its error is a *verdict.Error.
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
		answer, failed := c.askAny(&q, issuedAt)
		if failed == nil {
			return answer, nil
		}
		retry := failed.Verdict == verdict.NotRun && failed.RetryAfter > 0 && attempt < c.MaxAttempts
		if !retry || !sleep(ctx, failed.RetryAfter) {
			return nil, failed
		}
	}
}

// askAny sends q to the first URL that takes it.
func (c *Client) askAny(q *callerapi.Query, issuedAt time.Time) (*callerapi.Answer, *verdict.Error) {
	failed := verdict.RefuseField(verdict.BadRequest, "caller-url", "none was given")
	for _, url := range c.URLs {
		answer, err := c.askOnce(url, q, issuedAt)
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

// askOnce sends q once to url. A request that could not be sent has the reason
// NotSent.
func (c *Client) askOnce(url string, q *callerapi.Query, issuedAt time.Time) (*callerapi.Answer, *verdict.Error) {
	timeout := exchangeDefault
	if q.DeadlineMS != nil {
		timeout = time.Duration(*q.DeadlineMS)*time.Millisecond + exchangeMargin
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

// sendFailure maps a failed exchange: a request that was not sent did not run,
// any other may have.
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

// decodeFailure trusts a verdict only where the body has one: an answer from
// something between caller and tier leaves it unknown.
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
		RetryAfter: time.Duration(f.RetryAfterMS) * time.Millisecond,
	}
}

// sleep waits for d and reports whether ctx allowed it.
func sleep(ctx context.Context, d time.Duration) bool {
	if until, ok := ctx.Deadline(); ok && time.Until(until) < d {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
