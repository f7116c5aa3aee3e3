package gatherlink

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

const (
	// defaultAcceptTimeout is much longer than a round trip between two hosts, and short
	// against the objectives.
	defaultAcceptTimeout = 30 * time.Millisecond
	// lateAfter is how long after the objective an accepted sweep counts as lost:
	// gatherers answer by then with what they have or say why not.
	lateAfter = 250 * time.Millisecond
	// avoidSilent and avoidRefusing are how long a gatherer is not asked that did not
	// accept a sweep in time, or refused one.
	avoidSilent   = time.Second
	avoidRefusing = 200 * time.Millisecond
	// finalMargin is how long before the caller's deadline the final answer is given.
	finalMargin = 5 * time.Millisecond
)

// passage is one sweep that is passed on.
type passage struct {
	client  *Client
	request *exchange.Request
	route   *catalog.Route
	gone    <-chan struct{}
	tried   []*link
	// accepted is set once a gatherer has accepted the sweep, which may have run then.
	accepted bool
	// objective is when an answer becomes late, final when the caller stops waiting.
	objective time.Time
	final     time.Time
}

// Sweep passes a sweep on to a gatherer and returns its answer. It returns nil if this
// host has to serve the sweep itself, since no gatherer took it. gone is closed when the
// caller has disconnected.
func (c *Client) Sweep(r *exchange.Request, route *catalog.Route, gone <-chan struct{}) *exchange.Answer {
	p := &passage{client: c, request: r, route: route, gone: gone}
	p.objective = r.Arrived.Add(route.Objective)
	timeout := route.Timeout
	if r.CallerTimeout > 0 && (timeout <= 0 || r.CallerTimeout < timeout) {
		timeout = r.CallerTimeout
	}
	p.final = r.Arrived.Add(timeout - finalMargin)
	return p.run()
}

// run asks one gatherer after the other until one answers. A sweep that was accepted is
// passed on again only within the bound on extra load.
func (p *passage) run() *exchange.Answer {
	now := time.Now()
	for l := p.client.pick(nil, now); l != nil; l = p.client.pick(p.tried, now) {
		if len(p.tried) == 0 {
			p.client.budget.count(p.route, now)
		}
		if p.accepted && !p.client.budget.take(p.route, now) {
			break
		}
		p.tried = append(p.tried, l)
		if a := p.ask(l, now); a != nil {
			return a
		}
		now = time.Now()
	}
	if !p.accepted {
		return nil
	}
	return &exchange.Answer{Status: 502, Reason: exchange.GathererLost}
}

// ask passes the sweep on over one link and waits for the answer. It returns nil if the
// gatherer did not take the sweep or lost it.
func (p *passage) ask(l *link, now time.Time) *exchange.Answer {
	outcomes, id, err := l.send(sweepOf(p.request, p.route.Fingerprint, now))
	if err != nil {
		p.unserved(l, notSent, err)
		return nil
	}
	accepted := false
	timer := time.NewTimer(min(p.client.opts.AcceptTimeout, p.final.Sub(now)))
	defer timer.Stop()
	for {
		select {
		case o := <-outcomes:
			switch {
			case o.err != nil:
				p.unserved(l, lost, o.err)
				return nil
			case o.kind == kindAccepted:
				accepted, p.accepted = true, true
				timer.Reset(time.Until(p.patience()))
			case o.kind == kindAnswer && o.answer != nil:
				l.forget(id)
				return p.answered(l, o.answer)
			default:
				l.forget(id)
				l.avoid(time.Now(), avoidRefusing)
				p.unserved(l, refused, nil)
				return nil
			}
		case <-timer.C:
			l.withdraw(id)
			l.avoid(time.Now(), avoidSilent)
			if !time.Now().Before(p.final) {
				return &exchange.Answer{Status: 504, Reason: exchange.TimedOut}
			}
			p.unserved(l, lateResult(accepted), nil)
			return nil
		case <-p.gone:
			l.withdraw(id)
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// result is why a gatherer did not serve a sweep.
type result string

// The results of sweeps that a gatherer did not serve.
const (
	notSent  result = "not_sent"
	refused  result = "refused"
	lost     result = "lost"
	silent   result = "not_accepted"
	tooLate  result = "not_answered"
	answered result = "answered"
)

func lateResult(accepted bool) result {
	if accepted {
		return tooLate
	}
	return silent
}

// patience returns until when an accepted sweep is waited for.
func (p *passage) patience() time.Time {
	until := p.objective.Add(lateAfter)
	if until.After(p.final) {
		return p.final
	}
	return until
}

// answered returns the gatherer's answer with the trace as this host saw it.
func (p *passage) answered(l *link, from *answer) *exchange.Answer {
	p.count(answered)
	a := from.answer()
	if a.Trace != nil {
		a.Trace.Gatherer = l.addr
		a.Trace.Late = time.Now().After(p.objective)
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
		logging.FieldRequestID: p.request.ID, "gatherer": l.addr, "result": why, "route": p.route.Name, "asked": len(p.tried),
		"elapsed_ms": time.Since(p.request.Arrived).Milliseconds(), "lines_left_out": omitted,
	})
	if err != nil {
		entry = entry.WithError(err)
	}
	entry.Info("gatherer did not serve a sweep")
}

func (p *passage) count(r result) {
	p.client.opts.Scope.Tagged(map[string]string{"result": string(r)}).Counter("sweeps_passed_on").Inc(1)
}
