package quarantine

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// retryAfterSuspect is when a suspect that may not run now may be sent again.
const retryAfterSuspect = time.Second

// Guard is a subquery.Dispatcher in front of a host's own targets. It refuses
// quarantined requests, runs suspects one at a time, and gives the answer of a
// crashed sub-request only once other hosts know of the crash, so that no retry
// outruns the note.
type Guard struct {
	service *Service
	inner   subquery.Dispatcher
}

var _ subquery.Dispatcher = (*Guard)(nil)

// NewGuard returns a Guard in front of inner.
func NewGuard(service *Service, inner subquery.Dispatcher) *Guard {
	return &Guard{service: service, inner: inner}
}

// Submit implements subquery.Dispatcher.
func (g *Guard) Submit(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	if len(*g.service.published.Load()) == 0 {
		return g.run(req, done)
	}
	fingerprint := FingerprintOf(req.Caller, req.Workload, req.Body)
	if refusal := g.service.Check(fingerprint); refusal != nil {
		done(refused(refusal))
		return func() {}
	}
	if !g.service.suspectIn(fingerprint, req.Shard) {
		return g.run(req, done)
	}
	return g.runAlone(permitKey{fingerprint, req.Shard}, req, done)
}

// run passes the sub-request on and notes if its target died.
func (g *Guard) run(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	return g.inner.Submit(req, func(a *subquery.Answer) {
		if a.Reason != verdict.TargetCrashed {
			done(a)
			return
		}
		g.service.noteCrash(req, func() { done(a) })
	})
}

// runAlone runs a suspect once its arbiter permits it. A success clears it.
func (g *Guard) runAlone(key permitKey, req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	p := &pending{done: done}
	g.service.askPermit(key, req.Deadline, func(granted bool, number uint64) {
		if !granted {
			g.service.counter.delayed.Inc(1)
			p.finish(refused(verdict.Refuse(verdict.Quarantined, retryAfterSuspect,
				"a request with fingerprint %s crashed a target, and runs on one target at a time", key.fingerprint)))
			return
		}
		started := g.service.opts.Clock().UnixMilli()
		began := p.start(func() func() {
			return g.run(req, func(a *subquery.Answer) {
				if a.OK() {
					g.service.clear(key.fingerprint, req, started)
				}
				g.service.returnPermit(key, number)
				p.finish(a)
			})
		})
		if !began {
			g.service.returnPermit(key, number)
		}
	})
	return p.cancel
}

// clear voids the notes of a shard from before a run that succeeded.
func (s *Service) clear(fingerprint Fingerprint, req *subquery.Request, startedMS int64) {
	s.counter.cleared.Inc(1)
	s.submit(func(c *control) {
		known := c.table.records[fingerprint]
		if known == nil {
			return
		}
		cleared := &Record{Fingerprint: fingerprint, Caller: req.Caller, Workload: req.Workload}
		cleared.clear(req.Shard, startedMS)
		c.learn([]*Record{cleared}, func() {})
	})
}

func refused(e *verdict.Error) *subquery.Answer {
	return &subquery.Answer{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfter: e.RetryAfter}
}
