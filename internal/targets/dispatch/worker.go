package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// worker runs the exchanges of one slot, one after the other, on one connection.
// Only its goroutine uses its fields, except for the atomic ones and for cancel,
// which the guard calls during an exchange.
type worker struct {
	p        *pool
	slot     int
	conn     target.Conn
	lastUsed time.Time
	guard    *exchangeGuard
	// ctx is the context of exchanges; it is replaced after it was cancelled.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// batch and outgoing are buffers that are reused by every exchange. batch holds
	// its items, outgoing their sub-requests as they are sent.
	batch    []*item
	outgoing []target.Exchange
	// busySince is the Unix time in nanoseconds at which the running exchange
	// began, zero while there is none.
	busySince atomic.Int64
	// inExchange is the number of sub-requests in the last exchange that began.
	inExchange atomic.Int64
}

func newWorker(p *pool, slot int) *worker {
	w := &worker{p: p, slot: slot}
	w.guard = newExchangeGuard(w)
	w.renewContext()
	return w
}

// renewContext replaces a context that was cancelled.
func (w *worker) renewContext() {
	if w.cancel != nil {
		w.cancel(nil)
	}
	w.ctx, w.cancel = context.WithCancelCause(w.p.ctx)
}

// loop runs exchanges from the pool's queue until the pool closes, and maintains
// the connection while it is idle.
func (w *worker) loop() {
	idle := time.NewTimer(0)
	defer idle.Stop()
	defer w.closeConn()
	defer w.guard.stop()
	defer w.cancel(nil)
	for {
		w.batch = w.p.nextBatch(time.Now(), w.batch[:0])
		if len(w.batch) > 0 {
			w.serve(w.batch)
			clear(w.batch)
			continue
		}
		select {
		case <-w.p.ctx.Done():
			return
		case <-w.p.wake:
		case <-idle.C:
			w.maintainConn(time.Now())
			idle.Reset(w.p.nextMaintenance(time.Now()))
		}
	}
}

// serve runs one exchange and delivers its answers. It repeats the exchange once if
// the connection broke before anything was sent.
func (w *worker) serve(batch []*item) {
	if !w.connect(batch) {
		return
	}
	answers := w.exchange(batch)
	if w.conn.Broken() && neverSent(answers) {
		// The connection was stale: nothing was sent, so the batch may be sent on a
		// new connection.
		w.closeConn()
		if !w.connect(batch) {
			return
		}
		answers = w.exchange(batch)
	}
	w.deliver(batch, answers, time.Now())
}

// neverSent reports whether the answers say that no byte of the batch was written.
func neverSent(answers []*subquery.Answer) bool {
	for _, a := range answers {
		if a == nil || a.Verdict != verdict.NotRun || a.Reason != verdict.TargetUnreachable {
			return false
		}
	}
	return len(answers) > 0
}

// exchange sends the batch and returns the target's answers.
func (w *worker) exchange(batch []*item) []*subquery.Answer {
	started := time.Now()
	latest := started
	w.outgoing = w.outgoing[:0]
	for _, it := range batch {
		it.startedAt = started
		w.outgoing = append(w.outgoing, target.Exchange{ID: it.id, Request: it.req})
		if it.req.Deadline.After(latest) {
			latest = it.req.Deadline
		}
	}
	w.p.l.counters.exchanges.Inc(1)
	w.p.l.counters.subrequests.Inc(int64(len(batch)))
	w.inExchange.Store(int64(len(batch)))
	w.busySince.Store(started.UnixNano())
	w.guard.begin(batch, latest)
	answers := w.conn.Search(w.ctx, w.outgoing)
	w.guard.end()
	w.busySince.Store(0)
	w.lastUsed = time.Now()
	clear(w.outgoing)
	return answers
}

// deliver closes the connection if it broke or returned a wrong number of answers,
// updates the pool's state and finishes each item with its answer.
func (w *worker) deliver(batch []*item, answers []*subquery.Answer, now time.Time) {
	broken := w.conn.Broken() || len(answers) != len(batch)
	reason := w.closeIfBroken(broken, connectionLost(answers), now)
	succeeded := false
	for i, it := range batch {
		a := answerOf(answers, i, len(batch))
		if reason != "" && a.Verdict == verdict.Unknown && !a.OK() {
			a.Reason = reason
		}
		a.Waited = it.startedAt.Sub(it.queuedAt)
		a.Took = now.Sub(it.startedAt)
		succeeded = succeeded || a.OK()
		w.p.applyAnswer(a, now)
		it.answer = a
	}
	w.p.endExchange(len(batch), now.Sub(batch[0].startedAt), succeeded, now)
	if reason == verdict.TargetCrashed {
		w.p.reportCrash(batch)
	}
	for _, it := range batch {
		if !it.answer.OK() {
			w.p.l.counters.failed(it.answer.Reason)
		}
		if !it.finish(it.answer) {
			w.p.l.counters.late.Inc(1)
		}
	}
}

// answerOf returns the answer to item i, or one with the verdict Unknown if the
// target's answers do not match the sub-requests sent.
func answerOf(answers []*subquery.Answer, i, sent int) *subquery.Answer {
	if len(answers) != sent || answers[i] == nil {
		return unknownAnswer(verdict.ReplyTruncated)
	}
	return answers[i]
}

// closeIfBroken closes a broken connection and returns why it broke, empty if the
// answers' own reasons apply. lost reports that the connection broke during the
// exchange, in which case the target's process may have died. closeIfBroken also
// renews a context that was cancelled.
func (w *worker) closeIfBroken(broken, lost bool, now time.Time) verdict.Reason {
	cause := context.Cause(w.ctx)
	if cause != nil {
		w.renewContext()
	}
	if !broken {
		return ""
	}
	w.closeConn()
	if cause != nil {
		return reasonOf(cause)
	}
	if lost && w.p.processDied(now) {
		return verdict.TargetCrashed
	}
	return ""
}

// connectionLost reports whether the answers say that the connection broke during
// the exchange.
func connectionLost(answers []*subquery.Answer) bool {
	for _, a := range answers {
		if a != nil && a.Verdict == verdict.Unknown && (a.Reason == verdict.TargetUnreachable || a.Reason == verdict.ReplyTruncated) {
			return true
		}
	}
	return false
}

// closeConn closes the worker's connection.
func (w *worker) closeConn() {
	if w.conn != nil {
		w.p.closeConn(w.conn)
		w.conn = nil
	}
}
