package dispatch

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// worker runs the exchanges of one slot, one after the other, on one
// connection. Its fields belong to its goroutine, except for the atomic ones.
type worker struct {
	p        *pool
	index    int
	conn     target.Conn
	lastUsed time.Time
	guard    *guard
	// ctx is the context of exchanges; it is replaced once it was cancelled.
	ctx    context.Context
	cancel context.CancelCauseFunc
	// batch and exchanges are buffers that every exchange uses again.
	batch     []*item
	exchanges []target.Exchange
	// busySince is the Unix time in nanoseconds at which the running exchange
	// began, zero while there is none.
	busySince atomic.Int64
	// asked counts the sub-requests of the running exchange.
	asked atomic.Int64
}

func newWorker(p *pool, index int) *worker {
	w := &worker{p: p, index: index}
	w.guard = newGuard(w)
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

// loop serves the pool's queue until the pool closes.
func (w *worker) loop() {
	idle := time.NewTimer(0)
	defer idle.Stop()
	defer w.hangUp()
	defer w.guard.stop()
	defer w.cancel(nil)
	for {
		w.batch = w.p.take(time.Now(), w.batch[:0])
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
			w.maintain(time.Now())
			idle.Reset(w.p.nextMaintenance(time.Now()))
		}
	}
}

// serve runs one exchange.
func (w *worker) serve(batch []*item) {
	if !w.connect(batch) {
		return
	}
	answers := w.exchange(batch)
	if w.conn.Broken() && neverSent(answers) {
		// The connection was stale: nothing was sent, so a fresh one may be used.
		w.hangUp()
		if !w.connect(batch) {
			return
		}
		answers = w.exchange(batch)
	}
	w.deliver(batch, answers, time.Now())
}

// neverSent reports whether the connection broke before a byte was written.
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
	w.exchanges = w.exchanges[:0]
	for _, it := range batch {
		it.startedAt = started
		w.exchanges = append(w.exchanges, target.Exchange{ID: it.id, Request: it.req})
		if it.req.Deadline.After(latest) {
			latest = it.req.Deadline
		}
	}
	w.p.l.counters.exchanges.Inc(1)
	w.p.l.counters.batched.Inc(int64(len(batch)))
	w.asked.Store(int64(len(batch)))
	w.busySince.Store(started.UnixNano())
	w.guard.begin(batch, latest)
	answers := w.conn.Search(w.ctx, w.exchanges)
	w.guard.end()
	w.busySince.Store(0)
	w.lastUsed = time.Now()
	clear(w.exchanges)
	return answers
}

// deliver hands each item its answer and settles the connection.
func (w *worker) deliver(batch []*item, answers []*subquery.Answer, now time.Time) {
	broken := w.conn.Broken() || len(answers) != len(batch)
	reason := w.settle(broken, lostIn(answers), now)
	succeeded := false
	for i, it := range batch {
		a := answerOf(answers, i, len(batch))
		if reason != "" && a.Verdict == verdict.Unknown && !a.OK() {
			a.Reason = reason
		}
		a.Waited = it.startedAt.Sub(it.queuedAt)
		a.Took = now.Sub(it.startedAt)
		succeeded = succeeded || a.OK()
		w.p.absorb(a, now)
		it.answer = a
	}
	w.p.release(len(batch), now.Sub(batch[0].startedAt), succeeded, now)
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

// answerOf returns the answer to item i, and one of unknown verdict if the
// target's answers don't fit what was asked.
func answerOf(answers []*subquery.Answer, i, asked int) *subquery.Answer {
	if len(answers) != asked || answers[i] == nil {
		return unknown(verdict.ReplyTruncated)
	}
	return answers[i]
}

// settle closes a broken connection and returns why it broke, empty if the
// answers say so themselves.
func (w *worker) settle(broken, lost bool, now time.Time) verdict.Reason {
	cause := context.Cause(w.ctx)
	if cause != nil {
		w.renewContext()
	}
	if !broken {
		return ""
	}
	w.hangUp()
	if cause != nil {
		return reasonOf(cause)
	}
	if lost && w.p.died(now) {
		return verdict.TargetCrashed
	}
	return ""
}

// lostIn reports whether a connection ended in the midst of the exchange.
func lostIn(answers []*subquery.Answer) bool {
	for _, a := range answers {
		if a != nil && a.Verdict == verdict.Unknown && (a.Reason == verdict.TargetUnreachable || a.Reason == verdict.ReplyTruncated) {
			return true
		}
	}
	return false
}

// hangUp closes the worker's connection.
func (w *worker) hangUp() {
	if w.conn != nil {
		w.p.hangUp(w.conn)
		w.conn = nil
	}
}
