package gatherlink

import (
	"errors"
	"net/http"
	"slices"
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
	// avoidSilent and avoidRefusing are how long a gatherer is not asked that did not
	// accept a sweep in time, or refused one.
	avoidSilent   = time.Second
	avoidRefusing = 200 * time.Millisecond
	// avoidLate is how long a gatherer is the last choice whose answer came late.
	avoidLate = time.Second
	// beginShare is the percentage of the accept timeout within which the gatherer must
	// begin: a sweep that nobody waits for any more must not start.
	beginShare = 85
	// readGrace is how much longer a host waits for frames that it has received but not
	// read yet.
	readGrace = 10 * time.Millisecond
	// finalMargin is how long before the caller's deadline the final answer is given.
	finalMargin = 5 * time.Millisecond
)

var errNoUTF8 = errors.New("the gatherer's build can't read a request with texts that are no UTF-8")

var errUnknownFrame = errors.New("the gatherer sent a frame of an unknown kind, or an answer without content")

// passage is one request that is passed on.
type passage struct {
	client  *Client
	request *exchange.Request
	route   *catalog.Route
	gone    <-chan struct{}
	tried   []*link
	// asked is the number of hosts that were asked in all.
	asked int
	// pick returns the next host to ask that is not in tried, nil if there is none.
	pick func() *link
	// version is that of the configuration that has the route.
	version int64
	// disagreed is set once a host refused the request since its route for it differs, or was
	// passed over since it doesn't compare routes. statesRoute is then set for a second round, in
	// which hosts may serve the request by this host's route.
	disagreed   bool
	statesRoute bool
	// mayHaveRun is set once a gatherer may have begun the sweep.
	mayHaveRun bool
	// again reports whether a sweep that may have run may be passed on again.
	again func() bool
	// objective is when an answer becomes late, final when the caller stops waiting.
	objective time.Time
	final     time.Time
}

// Sweep passes a sweep on to a gatherer and returns its answer. It returns nil if this
// host has to serve the sweep itself, since no gatherer took it. gone is closed when the
// caller has disconnected. again reports whether the sweep may run once more on any of
// its targets.
func (c *Client) Sweep(r *exchange.Request, route *catalog.Route, again func() bool, gone <-chan struct{}) *exchange.Answer {
	p := newPassage(c, r, route, again, gone)
	p.pick = func() *link { return c.pick(route, p.tried, c.opts.Now()) }
	return p.run()
}

func newPassage(c *Client, r *exchange.Request, route *catalog.Route, again func() bool, gone <-chan struct{}) *passage {
	p := &passage{client: c, request: r, route: route, again: again, gone: gone}
	p.objective = r.Arrived.Add(route.Objective)
	timeout := route.Timeout
	if r.CallerTimeout > 0 && (timeout <= 0 || r.CallerTimeout < timeout) {
		timeout = r.CallerTimeout
	}
	p.final = r.Arrived.Add(timeout - finalMargin)
	return p
}

// run asks one host after the other until one answers. A request that may have run is passed
// on again only if again allows it and within the bound on extra load. Otherwise the caller is
// told at once, and may send it again itself.
func (p *passage) run() *exchange.Answer {
	now := time.Now()
	for l := p.next(); l != nil; l = p.next() {
		if p.asked == 0 {
			p.client.budget.count(p.route, now)
		}
		if p.mayHaveRun && !p.mayRunAgain(now) {
			break
		}
		p.tried = append(p.tried, l)
		p.asked++
		if a := p.ask(l, now); a != nil {
			return a
		}
		now = time.Now()
	}
	if !p.mayHaveRun || p.asked == 0 {
		return nil
	}
	return &exchange.Answer{Status: http.StatusBadGateway, Reason: exchange.GathererLost}
}

// next returns the next host to ask, nil if there is none. Hosts whose route for the request is
// the same come first. A host that hands a request over can't serve it itself, so the others are
// asked after them.
func (p *passage) next() *link {
	l := p.pick()
	if l != nil || !p.client.opts.HandsOver || !p.disagreed || p.statesRoute {
		return l
	}
	p.statesRoute, p.tried = true, nil
	return p.pick()
}

// mayRunAgain reports whether a request that may have run can be passed on again, and counts
// it as extra load if so. again counts a request that is handed over.
func (p *passage) mayRunAgain(now time.Time) bool {
	if !p.route.Idempotent || !p.again() {
		return false
	}
	return p.client.opts.HandsOver || p.client.budget.take(p.route, now)
}

// attempt is a sweep on its way to one gatherer.
type attempt struct {
	*passage
	link     *link
	id       uint64
	outcomes <-chan outcome
	// accepted is set once the gatherer has accepted the sweep, overdue once it has not
	// done so in time.
	accepted bool
	overdue  bool
	// ranBefore is set if the sweep may have run on another gatherer.
	ranBefore bool
}

// ask passes the sweep on over one link and waits for the answer. It returns nil if the
// gatherer did not take the sweep or lost it.
func (p *passage) ask(l *link, now time.Time) *exchange.Answer {
	message := p.message(now)
	if !l.reads(message) {
		p.unserved(l, notSent, errNoUTF8)
		return nil
	}
	message.BeginByUS = l.beginBy(now.Add(p.client.opts.AcceptTimeout * beginShare / 100))
	outcomes, id, err := l.send(message)
	if err != nil {
		p.unserved(l, notSent, err)
		return nil
	}
	ranBefore := p.mayHaveRun
	p.mayHaveRun = true
	a := &attempt{passage: p, link: l, id: id, outcomes: outcomes, ranBefore: ranBefore}
	return a.wait(min(p.client.opts.AcceptTimeout, p.final.Sub(now)))
}

// mayAsk reports whether a host may be asked to which the request is handed over. One that doesn't
// compare routes serves it by its own, which may be another one: it gets only requests that may be
// repeated, in the second round.
func (p *passage) mayAsk(l *link) bool {
	if slices.Contains(p.tried, l) {
		return false
	}
	if l.checks(p.route) {
		return true
	}
	p.disagreed = true
	return p.statesRoute && p.route.Idempotent
}

// message returns the request as it is passed on.
func (p *passage) message(now time.Time) *passedRequest {
	m := passedRequestOf(p.request, p.route, now)
	m.ConfigVersion = p.version
	if p.statesRoute {
		m.Route = routeTermsOf(p.route)
	}
	return m
}

// wait waits for the gatherer, at first for the given time.
func (a *attempt) wait(within time.Duration) *exchange.Answer {
	timer := time.NewTimer(within)
	defer timer.Stop()
	for {
		select {
		case o := <-a.outcomes:
			answer, ended := a.outcome(o)
			if ended {
				return answer
			}
			// A gatherer that has accepted a sweep answers in time or says why not; the end
			// of its process or of the link is an outcome, too.
			timer.Reset(time.Until(a.final))
		case <-timer.C:
			if !a.accepted && !a.overdue {
				// This host may have been slow itself: what has arrived is read first.
				a.overdue = true
				timer.Reset(readGrace)
				continue
			}
			if answer := a.readyAnswer(); answer != nil {
				return answer
			}
			return a.timedOut()
		case <-a.gone:
			if answer := a.readyAnswer(); answer != nil {
				return answer
			}
			a.link.withdraw(a.id)
			return &exchange.Answer{Status: 499, Reason: exchange.CallerLeft, CloseConnection: true}
		}
	}
}

// readyAnswer returns the gatherer's answer if it has already arrived, otherwise nil.
func (a *attempt) readyAnswer() *exchange.Answer {
	for {
		select {
		case o := <-a.outcomes:
			if o.kind == kindAnswer {
				answer, _ := a.outcome(o)
				return answer
			}
		default:
			return nil
		}
	}
}

// outcome processes a frame of the gatherer and reports whether the attempt has ended,
// with an answer or, if another gatherer has to be asked, with nil.
func (a *attempt) outcome(o outcome) (*exchange.Answer, bool) {
	switch {
	case o.err != nil:
		a.link.forget(a.id)
		a.unserved(a.link, lost, o.err)
		return nil, true
	case o.kind == kindAccepted:
		a.accepted = true
		return nil, false
	case o.kind == kindAnswer && o.answer != nil:
		a.link.forget(a.id)
		return a.received(o.answer), true
	case o.kind != kindRefused:
		// The frame of another build says nothing of whether the sweep ran.
		a.link.forget(a.id)
		a.unserved(a.link, lost, errUnknownFrame)
		return nil, true
	default:
		// A gatherer that refuses a sweep has not run it, even if it had accepted it.
		a.mayHaveRun = a.ranBefore
		a.link.forget(a.id)
		a.refused(o.otherRoute)
		return nil, true
	}
}

// refused processes the refusal of a gatherer. One whose route for the request differs may still
// take other requests that are handed over.
func (a *attempt) refused(otherRoute bool) {
	a.disagreed = a.disagreed || otherRoute
	if otherRoute && a.client.opts.HandsOver {
		a.unserved(a.link, differs, nil)
		return
	}
	a.link.avoid(a.client.opts.Now(), avoidRefusing)
	a.unserved(a.link, refused, nil)
}

// received returns the gatherer's answer, nil if a caller must not get what it holds. The
// request may have run then.
func (a *attempt) received(from *answer) *exchange.Answer {
	if err := from.check(); err != nil {
		a.unserved(a.link, lost, err)
		return nil
	}
	return a.truthful(a.answered(a.link, from))
}

// truthful returns the answer, or a failure in place of a refusal if the sweep may have
// run on a gatherer that was asked before: a refusal states that it has not run.
func (a *attempt) truthful(answer *exchange.Answer) *exchange.Answer {
	if answer.Status != http.StatusServiceUnavailable || !a.ranBefore {
		return answer
	}
	return &exchange.Answer{Status: http.StatusBadGateway, Reason: exchange.GathererLost, Trace: answer.Trace}
}

// timedOut ends an attempt whose gatherer did not accept the sweep or answer in time.
func (a *attempt) timedOut() *exchange.Answer {
	now := time.Now()
	a.link.withdraw(a.id)
	a.link.avoid(a.client.opts.Now(), avoidSilent)
	if !now.Before(a.final) {
		a.unserved(a.link, expired, nil)
		return &exchange.Answer{Status: 504, Reason: exchange.TimedOut}
	}
	a.unserved(a.link, silent, nil)
	return nil
}

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
