package quarantine

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// retryAfterSuspect is the retry hint for a suspect that got no permit.
const retryAfterSuspect = time.Second

// Guard is a subquery.Dispatcher in front of a host's own targets. It refuses
// quarantined requests and, on the shards on which a suspect crashed a target, runs
// it on one target at a time. It delays the answer of a sub-request that crashed its
// target until the hosts to which the note is sent have answered, at most for
// spreadTimeout, to keep a retry from reaching a host before the note.
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
	if !g.service.suspectOnShard(fingerprint, req.Shard) {
		return g.run(req, done)
	}
	return g.runWithPermit(permitKey{fingerprint, req.Shard}, req, done)
}

// run submits the sub-request to inner and records a crash of its target.
func (g *Guard) run(req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	return g.inner.Submit(req, func(a *subquery.Answer) {
		if a.Reason != verdict.TargetCrashed {
			done(a)
			return
		}
		g.service.recordCrash(req, func() { done(a) })
	})
}

// runWithPermit runs a suspect once its arbiter grants a permit, and refuses it
// otherwise. A success clears the suspect on the shard.
func (g *Guard) runWithPermit(key permitKey, req *subquery.Request, done func(*subquery.Answer)) (cancel func()) {
	p := &pending{done: done}
	g.service.requestPermit(key, req.Deadline, func(granted bool, number uint64) {
		if !granted {
			g.service.counter.suspectsRefused.Inc(1)
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

// clear invalidates the notes of req's shard up to the start of a successful run.
func (s *Service) clear(fingerprint Fingerprint, req *subquery.Request, startedMS int64) {
	s.counter.cleared.Inc(1)
	s.submit(func(c *control) {
		known := c.table.records[fingerprint]
		if known == nil {
			return
		}
		cleared := &Record{Fingerprint: fingerprint, Caller: req.Caller, Workload: req.Workload}
		cleared.clear(req.Shard, startedMS)
		c.mergeAndSpread([]*Record{cleared}, func() {})
	})
}

// refused converts a refusal to an answer.
func refused(e *verdict.Error) *subquery.Answer {
	return &subquery.Answer{Verdict: e.Verdict, Reason: e.Reason, Message: e.Message, RetryAfter: e.RetryAfter}
}
