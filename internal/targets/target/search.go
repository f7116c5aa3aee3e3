package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// errNotIdle is returned when the target closed an idle connection or sent bytes
// on it that nobody asked for.
var errNotIdle = eris.New("target: connection was closed or carries stray bytes")

// bodies holds the buffers that search requests are encoded into.
var bodies = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Search implements Conn. A reply list that is not exactly the list of answers
// to the batch, in order, is not used at all.
func (c *httpConn) Search(ctx context.Context, batch []Exchange) []*subquery.Answer {
	answers := make([]*subquery.Answer, len(batch))
	now := time.Now()
	deadline := c.prepare(batch, answers, now)
	if len(c.items) == 0 {
		return answers
	}
	failure := c.exchange(ctx, deadline)
	if failure != nil && failure.Verdict == verdict.Unknown {
		c.broken = true
	}
	took := time.Since(now)
	next := 0
	for i := range answers {
		if answers[i] != nil {
			continue
		}
		if failure != nil {
			failed := *failure
			failed.Took = took
			answers[i] = &failed
			continue
		}
		answers[i] = toAnswer(&c.reply[next], took)
		next++
	}
	c.forget()
	return answers
}

// forget drops the bodies of the last exchange and keeps the buffers. Nothing of
// one reply may be left where the next one is decoded.
func (c *httpConn) forget() {
	clear(c.items)
	clear(c.reply[:cap(c.reply)])
}

// prepare fills c.items with the exchanges that have time left, answers the
// others, and returns the latest deadline.
func (c *httpConn) prepare(batch []Exchange, answers []*subquery.Answer, now time.Time) time.Time {
	c.items = c.items[:0]
	var latest time.Time
	for i, exchange := range batch {
		req := exchange.Request
		left := req.Deadline.Sub(now)
		if left <= 0 {
			answers[i] = &subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.DeadlinePassed}
			continue
		}
		if req.Deadline.After(latest) {
			latest = req.Deadline
		}
		c.items = append(c.items, SearchItem{
			ExchangeID:     exchange.ID ^ c.salt,
			RequestID:      req.RequestID,
			Caller:         req.Caller,
			Workload:       req.Workload,
			Service:        req.Service,
			Shard:          req.Shard,
			Snapshot:       req.Snapshot,
			Body:           req.Body,
			Idempotent:     req.Idempotent,
			TimeLeftMicros: max(left.Microseconds(), 1),
		})
	}
	return latest
}

// exchange sends c.items and reads the reply into c.reply. A non-nil result
// stands for every item.
func (c *httpConn) exchange(ctx context.Context, deadline time.Time) *subquery.Answer {
	if len(c.items) > MaxBatch {
		return &subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "batch is larger than the protocol's limit"}
	}
	buf := bodies.Get().(*bytes.Buffer)
	defer bodies.Put(buf)
	buf.Reset()
	if err := cbor.NewEncoder(buf).Encode(c.items); err != nil {
		return &subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.Internal, Message: err.Error()}
	}
	if err := c.roundTrip(ctx, deadline, fasthttp.MethodPost, PathSearch, buf.Bytes()); err != nil {
		return c.lost(ctx, err)
	}
	if status := c.resp.StatusCode(); status != fasthttp.StatusOK {
		return unknown(verdict.TargetFailed, eris.Errorf("status %d", status))
	}
	return c.checkReply()
}

// checkReply decodes the reply and compares it with c.items.
func (c *httpConn) checkReply() *subquery.Answer {
	c.reply = c.reply[:0]
	if err := Decode(c.resp.Body(), &c.reply); err != nil {
		if errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, io.EOF) {
			return unknown(verdict.ReplyTruncated, err)
		}
		return unknown(verdict.ReplyMismatch, err)
	}
	if len(c.reply) < len(c.items) {
		return unknown(verdict.ReplyTruncated, eris.Errorf("%d answers to %d exchanges", len(c.reply), len(c.items)))
	}
	if len(c.reply) > len(c.items) {
		return unknown(verdict.ReplyMismatch, eris.Errorf("%d answers to %d exchanges", len(c.reply), len(c.items)))
	}
	for i := range c.reply {
		if c.reply[i].ExchangeID != c.items[i].ExchangeID {
			return unknown(verdict.ReplyMismatch, eris.Errorf("answer %d is for another exchange", i))
		}
		if !c.reply[i].Status.valid() {
			return unknown(verdict.ReplyMismatch, eris.Errorf("answer %d has unknown status %d", i, c.reply[i].Status))
		}
	}
	return nil
}

// lost returns the answer for exchanges whose connection failed with err.
func (c *httpConn) lost(ctx context.Context, err error) *subquery.Answer {
	answer := unknown(lostReason(ctx, err), err)
	if c.conn.written == 0 {
		answer.Verdict = verdict.NotRun
	}
	return answer
}

// timeoutError is an error that says whether it is a timeout.
type timeoutError interface {
	error
	Timeout() bool
}

// lostReason tells why an exchange has no reply.
func lostReason(ctx context.Context, err error) verdict.Reason {
	if ctx.Err() != nil {
		if cause, ok := errors.AsType[*verdict.Error](context.Cause(ctx)); ok {
			return cause.Reason
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return verdict.TargetSilent
		}
		return verdict.Cancelled
	}
	// The HTTP library's own timeout error is no net.Error.
	if timeout, ok := errors.AsType[timeoutError](err); ok && timeout.Timeout() {
		return verdict.DeadlinePassed
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return verdict.ReplyTruncated
	}
	if errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return verdict.ReplyMismatch
	}
	return verdict.TargetUnreachable
}

func unknown(reason verdict.Reason, err error) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Unknown, Reason: reason, Message: err.Error()}
}

// toAnswer converts a checked item.
func toAnswer(item *AnswerItem, took time.Duration) *subquery.Answer {
	return &subquery.Answer{
		Verdict:    item.Status.verdict(),
		Reason:     item.reason(),
		Message:    item.Message,
		RetryAfter: time.Duration(item.RetryAfterMS) * time.Millisecond,
		Snapshot:   item.Snapshot,
		Body:       item.Body,
		Load:       item.Load,
		Took:       took,
	}
}
