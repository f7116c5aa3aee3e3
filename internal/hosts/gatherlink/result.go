package gatherlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// result is why a gatherer did not serve a sweep.
type result string

// The results of sweeps that a gatherer did not serve.
const (
	notSent result = "not_sent"
	refused result = "refused"
	differs result = "other_route"
	lost    result = "lost"
	silent  result = "not_accepted"
	expired result = "timed_out"
	served  result = "answered"
)

// answered returns the gatherer's answer with the trace as this host saw it.
func (p *passage) answered(l *link, from *answer) *exchange.Answer {
	p.count(served)
	late := time.Now().After(p.objective)
	a := from.answer()
	if a.Trace != nil {
		a.Trace.Gatherer = l.addr
		a.Trace.Late = late
	}
	if late {
		l.late(p.client.opts.Now(), avoidLate)
	}
	return a
}

// unserved counts and logs why a gatherer did not serve the sweep.
func (p *passage) unserved(l *link, why result, err error) {
	p.count(why)
	ok, omitted := p.client.lines.Take(string(why), time.Now())
	if !ok {
		return
	}
	entry := p.client.opts.Log.WithFields(logrus.Fields{
		logging.FieldRequestID: p.request.ID, "gatherer": l.addr, "result": why, "route": p.route.Name, "asked": p.asked,
		"elapsed_ms": time.Since(p.request.Arrived).Milliseconds(), "lines_left_out": omitted,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	if !p.route.Sweep() {
		entry.Info("other host did not serve a request")
		return
	}
	entry.Info("gatherer did not serve a sweep")
}

func (p *passage) count(r result) {
	scope := p.client.opts.Scope.Tagged(map[string]string{"result": string(r)})
	if p.client.opts.HandsOver {
		scope.Counter("requests_passed_on").Inc(1)
		return
	}
	scope.Counter("sweeps_passed_on").Inc(1)
}
