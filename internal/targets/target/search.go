package target

import (
	"bytes"
	"context"
	"errors"
	"io"
	"strings"
	"sync"
	"time"
	"unicode/utf8"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// errNotIdle is returned if the target closed an idle connection or sent unexpected
// bytes on it.
var errNotIdle = eris.New("target: connection was closed or carries stray bytes")

// requestBuffers pools the buffers into which search requests are encoded.
var requestBuffers = sync.Pool{New: func() any { return new(bytes.Buffer) }}

// Search implements Conn. It discards a reply list that does not match the batch
// exactly and in order.
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
	c.resetItems()
	return answers
}

// resetItems clears the items of the last exchange and keeps their slices. The
// reply slice is cleared up to its capacity, because the decoder leaves the fields
// of an element unchanged where the next reply has a null.
func (c *httpConn) resetItems() {
	clear(c.items)
	clear(c.reply[:cap(c.reply)])
}

// prepare fills c.items with the exchanges whose deadline has not passed, answers
// the others, and returns the latest deadline.
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

// exchange sends c.items and reads the reply into c.reply. On failure it returns
// the answer to every item, otherwise nil.
func (c *httpConn) exchange(ctx context.Context, deadline time.Time) *subquery.Answer {
	if len(c.items) > MaxBatch {
		return &subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.BadRequest, Message: "batch is larger than the protocol's limit"}
	}
	buf := requestBuffers.Get().(*bytes.Buffer)
	defer requestBuffers.Put(buf)
	buf.Reset()
	if err := cbor.NewEncoder(buf).Encode(c.items); err != nil {
		return &subquery.Answer{Verdict: verdict.NotRun, Reason: verdict.Internal, Message: err.Error()}
	}
	if err := c.roundTrip(ctx, deadline, fasthttp.MethodPost, PathSearch, buf.Bytes()); err != nil {
		return c.connectionFailure(ctx, err)
	}
	if c.head.Status != fasthttp.StatusOK {
		return unknown(verdict.TargetFailed, eris.Errorf("status %d", c.head.Status))
	}
	return c.checkReply()
}

// checkReply decodes the reply and compares it with c.items. It returns the answer
// to every item if they do not match, otherwise nil.
func (c *httpConn) checkReply() *subquery.Answer {
	c.reply = c.reply[:0]
	if err := decodeAnswers(c.body, &c.reply); err != nil {
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

// connectionFailure returns the answer to exchanges whose connection failed with
// err. Its verdict is NotRun if no byte was written.
func (c *httpConn) connectionFailure(ctx context.Context, err error) *subquery.Answer {
	answer := unknown(failureReason(ctx, err), err)
	if c.conn.written == 0 {
		answer.Verdict = verdict.NotRun
	}
	return answer
}

// timeoutError is implemented by errors that may be timeouts.
type timeoutError interface {
	error
	Timeout() bool
}

// failureReason returns the reason for a failure of the connection with err.
func failureReason(ctx context.Context, err error) verdict.Reason {
	if ctx.Err() != nil {
		if cause, ok := errors.AsType[*verdict.Error](context.Cause(ctx)); ok {
			return cause.Reason
		}
		if errors.Is(ctx.Err(), context.DeadlineExceeded) {
			return verdict.TargetSilent
		}
		return verdict.Cancelled
	}
	if timeout, ok := errors.AsType[timeoutError](err); ok && timeout.Timeout() {
		return verdict.DeadlinePassed
	}
	if errors.Is(err, io.ErrUnexpectedEOF) {
		return verdict.ReplyTruncated
	}
	if _, oversized := exchange.AsOversizedReply(err); oversized || errors.Is(err, httpreply.ErrNoMemory) || httpreply.IsInvalid(err) {
		return verdict.ReplyMismatch
	}
	return verdict.TargetUnreachable
}

// unknown returns an answer with verdict Unknown.
func unknown(reason verdict.Reason, err error) *subquery.Answer {
	return &subquery.Answer{Verdict: verdict.Unknown, Reason: reason, Message: err.Error()}
}

// toAnswer converts an item that checkReply has accepted. Its message becomes UTF-8, which callers and
// other hosts need, and its numbers are kept in bounds.
func toAnswer(item *AnswerItem, took time.Duration) *subquery.Answer {
	return &subquery.Answer{
		Verdict:    item.Status.verdict(),
		Reason:     item.reason(),
		Message:    strings.ToValidUTF8(item.Message, string(utf8.RuneError)),
		RetryAfter: bounds.Period(item.RetryAfterMS, time.Millisecond),
		Snapshot:   item.Snapshot,
		Body:       item.Body,
		Load:       item.Load.Bounded(),
		Took:       took,
	}
}
