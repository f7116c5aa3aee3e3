package gatherlink

import (
	"errors"
	"net/http"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
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
