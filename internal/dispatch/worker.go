package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/swiftvane/swiftvane/internal/subquery"
	"github.com/swiftvane/swiftvane/internal/target"
	"github.com/swiftvane/swiftvane/internal/verdict"
)

// Causes that end an exchange.
var errSilent = errors.New("dispatch: the exchange makes no progress")

// worker runs the exchanges of one slot, one after the other, on one
// connection.
type worker struct {
	p        *pool
	index    int
	conn     target.Conn
	lastUsed time.Time
}

// loop serves the pool's queue until the pool closes.
func (w *worker) loop() {
	idle := time.NewTimer(0)
	defer idle.Stop()
	defer w.drop()
	for {
		if batch := w.p.take(time.Now()); len(batch) > 0 {
			w.serve(batch)
			continue
		}
		select {
		case <-w.p.ctx.Done():
			return
		case <-w.p.wake:
		case <-idle.C:
			w.maintain()
			idle.Reset(w.p.l.limits.IdleProbe)
		}
	}
}

// serve runs one exchange.
func (w *worker) serve(batch []*item) {
	if !w.connect(batch) {
		return
	}
	started := time.Now()
	exchanges := make([]target.Exchange, len(batch))
	latest := started
	for i, it := range batch {
		exchanges[i] = target.Exchange{ID: it.id, Request: it.req}
		if it.req.Deadline.After(latest) {
			latest = it.req.Deadline
		}
	}
	w.p.l.counters.exchanges.Inc(1)
	w.p.l.counters.batched.Inc(int64(len(batch)))
	ctx, cancel := context.WithCancelCause(w.p.ctx)
	guard := newGuard(w.p, cancel, latest)
	answers := w.conn.Search(ctx, exchanges)
	guard.stop()
	cause := context.Cause(ctx)
	cancel(nil)
	now := time.Now()
	w.lastUsed = now
	w.deliver(batch, answers, cause, now)
}

// deliver hands each item its answer and settles the connection.
func (w *worker) deliver(batch []*item, answers []*subquery.Answer, cause error, now time.Time) {
	broken := w.conn.Broken() || len(answers) != len(batch)
	reason := w.settle(broken, cause, now)
	succeeded := false
	var crashed []*item
	for i, it := range batch {
		a := answerOf(answers, i, len(batch))
		if reason != "" && a.Verdict == verdict.Unknown && !a.OK() {
			a.Reason = reason
		}
		a.Waited = it.startedAt.Sub(it.queuedAt)
		a.Took = now.Sub(it.startedAt)
		succeeded = succeeded || a.OK()
		if a.Reason == verdict.TargetCrashed {
			crashed = append(crashed, it)
		}
		w.p.absorb(a, now)
	}
	w.p.release(batch, now.Sub(batch[0].startedAt), succeeded, now)
	w.p.reportCrash(crashed)
	for i, it := range batch {
		a := answerOf(answers, i, len(batch))
		if !a.OK() {
			w.p.l.counters.failed(a.Reason)
		}
		if !it.finish(a) {
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
func (w *worker) settle(broken bool, cause error, now time.Time) verdict.Reason {
	if !broken {
		return ""
	}
	w.drop()
	switch {
	case errors.Is(cause, errSilent):
		return verdict.TargetSilent
	case errors.Is(cause, context.DeadlineExceeded):
		return verdict.DeadlinePassed
	case cause != nil:
		return verdict.Cancelled
	}
	if w.p.died(now) {
		return verdict.TargetCrashed
	}
	return ""
}

// drop closes the worker's connection.
func (w *worker) drop() {
	if w.conn != nil {
		_ = w.conn.Close()
		w.conn = nil
	}
}
