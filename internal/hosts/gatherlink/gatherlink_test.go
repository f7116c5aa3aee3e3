package gatherlink

import (
	"context"
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/clock"
)

const (
	eventuallyTimeout = 10 * time.Second
	// acceptTimeout is long enough for a slow machine.
	acceptTimeout = 5 * time.Second
)

func route() *catalog.Route {
	r := &catalog.Route{
		Name: "sweep", Host: "h", Prefix: "/", Timeout: time.Minute, Objective: 30 * time.Second,
		Shards: []catalog.ServiceName{"a", "b"}, Idempotent: true, MaxAttempts: 2,
	}
	catalog.NewConfig(1, []*catalog.Route{r}, nil, catalog.Limits{})
	return r
}

func always() bool { return true }

func request(id string) *exchange.Request {
	return &exchange.Request{ID: id, Method: "GET", Host: "h", URI: "/x", Forward: []byte("A: b\r\n"), Arrived: time.Now(), CallerTimeout: time.Minute, Reserved: 7 * time.Millisecond}
}

// fakeGatherer gathers sweeps with a function.
type fakeGatherer struct {
	accepts bool
	// lostShare is the share of targets that the host says to have lost.
	lostShare float64
	gather    func(r *exchange.Request, gone <-chan struct{}) *exchange.Answer

	// termsOnly is set if the host has another route, and serves only by the terms of one.
	termsOnly bool

	mu       sync.Mutex
	requests []*exchange.Request
	// routes are what was said of the routes of the requests.
	routes []exchange.PassedRoute
}

func (g *fakeGatherer) Accept(r *exchange.Request, passed exchange.PassedRoute) exchange.Acceptance {
	if !g.accepts {
		return exchange.Acceptance{}
	}
	if g.termsOnly && passed.Terms == nil || !g.termsOnly && passed.Fingerprint != route().Fingerprint {
		return exchange.Acceptance{OtherRoute: true}
	}
	return exchange.Acceptance{Serve: func(gone <-chan struct{}) *exchange.Answer {
		g.mu.Lock()
		g.requests, g.routes = append(g.requests, r), append(g.routes, passed)
		g.mu.Unlock()
		return g.gather(r, gone)
	}}
}

func (g *fakeGatherer) served() int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return len(g.requests)
}

// serve runs a gatherer and returns its member and a function that ends it and its links.
func (g *fakeGatherer) serve(t *testing.T) (gathering.Member, *Server, func()) {
	t.Helper()
	log, _ := test.NewNullLogger()
	s := NewServer(g, func() float64 { return g.lostShare }, appendFields, log)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	links := &linkListener{Listener: l}
	go func() { _ = fasthttp.Serve(links, s.Handle) }()
	end := func() { _ = l.Close(); links.closeAll() }
	t.Cleanup(end)
	return gathering.Member{Addr: l.Addr().String()}, s, end
}

// linkListener keeps the accepted connections, to close them like the end of a process.
type linkListener struct {
	net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err == nil {
		l.mu.Lock()
		l.conns = append(l.conns, c)
		l.mu.Unlock()
	}
	return c, err
}

func (l *linkListener) closeAll() {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, c := range l.conns {
		_ = c.Close()
	}
}

func answering(status int) func(*exchange.Request, <-chan struct{}) *exchange.Answer {
	return func(r *exchange.Request, _ <-chan struct{}) *exchange.Answer {
		return &exchange.Answer{Status: status, Signatures: []string{r.ID}, Body: []byte("records"), Trace: &exchange.Trace{Route: "sweep", Sweep: true}}
	}
}

// newClient returns a client with links to all gatherers, which it prefers in this order.
func newClient(t *testing.T, gatherers ...gathering.Member) *Client {
	t.Helper()
	return newClientAt(t, nil, gatherers...)
}

// newClientAt is newClient with a clock, nil for the real one.
func newClientAt(t *testing.T, now func() time.Time, gatherers ...gathering.Member) *Client {
	t.Helper()
	log, _ := test.NewNullLogger()
	c := NewClient(Options{Self: gathering.Member{Addr: "self"}, Log: log, AcceptTimeout: acceptTimeout, Now: now})
	c.SetExtra(extrabudget.Limit{Ratio: 0.2, Slack: 2, Window: 10 * time.Second})
	c.SetGatherers(gatherers)
	c.mu.Lock()
	c.preferred = gatherers
	c.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go c.Run(ctx)
	require.Eventually(t, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		for _, l := range c.links {
			if !l.usable(time.Now()) {
				return false
			}
		}
		return len(c.links) == len(gatherers)
	}, eventuallyTimeout, time.Millisecond)
	return c
}

func TestSweepIsAnsweredByPreferredGatherer(t *testing.T) {
	first := &fakeGatherer{accepts: true, gather: answering(200)}
	second := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, _ := first.serve(t)
	m2, _, _ := second.serve(t)
	c := newClient(t, m1, m2)
	for i := range 20 {
		id := fmt.Sprint("r-", i)
		a := c.Sweep(request(id), route(), always, nil)
		require.Equal(t, 200, a.Status)
		require.Equal(t, []string{id}, a.Signatures)
		require.Equal(t, "records", string(a.Body))
		require.Equal(t, m1.Addr, a.Trace.Gatherer)
	}
	require.Equal(t, 20, first.served())
	require.Zero(t, second.served())
	got := first.requests[0]
	require.Equal(t, "A: b\r\n", string(got.Forward))
	require.Equal(t, time.Minute, got.CallerTimeout)
	require.Equal(t, 7*time.Millisecond, got.Reserved)
}

// TestRefusedSweepGoesToOtherGathererOrBackToHost covers gatherers that are stopping or
// have another configuration: they refuse before anything is sent to a target.
func TestRefusedSweepGoesToOtherGathererOrBackToHost(t *testing.T) {
	refusing := &fakeGatherer{gather: answering(200)}
	stopping := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, _ := refusing.serve(t)
	m2, s2, _ := stopping.serve(t)
	c := newClient(t, m1, m2)
	require.Equal(t, 200, c.Sweep(request("r-1"), route(), always, nil).Status)
	s2.Stop()
	require.Nil(t, c.Sweep(request("r-2"), route(), always, nil), "the host serves it itself")
	require.Zero(t, refusing.served())
	require.Equal(t, 1, stopping.served())
}

// TestSweepOfLostGathererIsPassedOnWithinBudget ends a gatherer while it has sweeps.
// Each is passed on again only within the bound on extra load.
func TestSweepOfLostGathererIsPassedOnWithinBudget(t *testing.T) {
	const callers = 12
	var begun sync.WaitGroup
	begun.Add(callers)
	lost := &fakeGatherer{accepts: true, gather: func(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
		begun.Done()
		<-gone
		return &exchange.Answer{Status: 499}
	}}
	other := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, endLost := lost.serve(t)
	m2, _, _ := other.serve(t)
	c := newClient(t, m1, m2)
	statuses := make(chan int, callers)
	for i := range callers {
		go func() { statuses <- c.Sweep(request(fmt.Sprint("r-", i)), route(), always, nil).Status }()
	}
	begun.Wait()
	endLost()
	counts := map[int]int{}
	for range callers {
		counts[<-statuses]++
	}
	require.Equal(t, 4, counts[200], "a slack of 2 and a fifth of 12: %v", counts)
	require.Equal(t, callers-4, counts[502], "%v", counts)
	require.Equal(t, 4, other.served())
}

// TestRefusalAfterLostGathererIsNotPassedOn covers a sweep that may have run on a gatherer
// that was lost and is then refused by another one: the caller must not be told that it
// has not run.
func TestRefusalAfterLostGathererIsNotPassedOn(t *testing.T) {
	begun := make(chan struct{})
	lost := &fakeGatherer{accepts: true, gather: func(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
		close(begun)
		<-gone
		return &exchange.Answer{Status: 499}
	}}
	refusing := &fakeGatherer{accepts: true, gather: answering(503)}
	m1, _, endLost := lost.serve(t)
	m2, _, _ := refusing.serve(t)
	c := newClient(t, m1, m2)
	go func() {
		<-begun
		endLost()
	}()
	a := c.Sweep(request("r-1"), route(), always, nil)
	require.Equal(t, 502, a.Status)
	require.Equal(t, 1, refusing.served())
	require.Equal(t, 503, newClient(t, m2).Sweep(request("r-2"), route(), always, nil).Status, "a first refusal is true")
}

// TestLostSweepIsNotPassedOnBeyondItsAttempts covers shards with more replicas than a
// request may run on: a gatherer that accepted it may have used up its attempts.
func TestLostSweepIsNotPassedOnBeyondItsAttempts(t *testing.T) {
	begun := make(chan struct{})
	lost := &fakeGatherer{accepts: true, gather: func(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
		close(begun)
		<-gone
		return &exchange.Answer{Status: 499}
	}}
	other := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, endLost := lost.serve(t)
	m2, _, _ := other.serve(t)
	c := newClient(t, m1, m2)
	go func() {
		<-begun
		endLost()
	}()
	a := c.Sweep(request("r-1"), route(), func() bool { return false }, nil)
	require.Equal(t, 502, a.Status)
	require.Zero(t, other.served())
}

// TestSweepThatArrivesTooLateIsRefused covers a gatherer that reads a sweep after the
// host has given up waiting for it: it must not run it any more.
func TestSweepThatArrivesTooLateIsRefused(t *testing.T) {
	g := &fakeGatherer{accepts: true, gather: answering(200)}
	m, _, _ := g.serve(t)
	c := newClient(t, m)
	l := c.pick(route(), nil, time.Now())
	message := passedRequestOf(request("r-1"), route(), time.Now())
	message.BeginByUS = 1
	outcomes, _, err := l.send(message)
	require.NoError(t, err)
	require.Equal(t, kindRefused, (<-outcomes).kind)
	require.Zero(t, g.served())
}

// TestSilentGathererIsLeft covers a gatherer that neither accepts nor refuses, as one
// that is frozen or cut off.
func TestSilentGathererIsLeft(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	frozen := make(chan struct{})
	t.Cleanup(func() { close(frozen) })
	silent := &fakeGatherer{accepts: true, gather: answering(200)}
	log, _ := test.NewNullLogger()
	server := NewServer(&silentHandler{fakeGatherer: silent, frozen: frozen}, nil, appendFields, log)
	go func() { _ = fasthttp.Serve(l, server.Handle) }()
	other := &fakeGatherer{accepts: true, gather: answering(200)}
	m2, _, _ := other.serve(t)
	now := clock.NewManual()
	c := newClientAt(t, now.Now, gathering.Member{Addr: l.Addr().String()}, m2)
	never := func() bool { return false }
	require.Equal(t, 502, c.Sweep(request("r-0"), route(), never, nil).Status, "it may have run, and the attempts are used up")
	c.SetExtra(extrabudget.Limit{Slack: 2, Window: 10 * time.Second})
	now.Advance(avoidSilent)
	require.Equal(t, 200, c.Sweep(request("r-1"), route(), always, nil).Status)
	require.Equal(t, 200, c.Sweep(request("r-2"), route(), never, nil).Status, "the silent one is avoided")
	require.Equal(t, 2, other.served())
}

// silentHandler blocks the reading of a link, as a frozen process does.
type silentHandler struct {
	*fakeGatherer
	frozen chan struct{}
}

func (h *silentHandler) Accept(*exchange.Request, exchange.PassedRoute) exchange.Acceptance {
	<-h.frozen
	return exchange.Acceptance{}
}

// TestSlowGathererIsLastChoice covers a gatherer on a slow host: its answers come late.
// If all are late, they are still asked.
func TestSlowGathererIsLastChoice(t *testing.T) {
	r := route()
	r.Objective = time.Microsecond
	slow := &fakeGatherer{accepts: true, gather: answering(200)}
	other := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, _ := slow.serve(t)
	m2, _, _ := other.serve(t)
	c := newClient(t, m1, m2)
	for i := range 3 {
		require.Equal(t, 200, c.Sweep(request(fmt.Sprint("r-", i)), r, always, nil).Status)
	}
	require.Equal(t, 3, slow.served()+other.served())
	require.GreaterOrEqual(t, other.served(), 1)
}

// TestCallerThatLeavesWithdrawsSweep checks that the gatherer's work ends.
func TestCallerThatLeavesWithdrawsSweep(t *testing.T) {
	ended := make(chan struct{})
	g := &fakeGatherer{accepts: true, gather: func(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
		<-gone
		close(ended)
		return &exchange.Answer{Status: 499}
	}}
	m, _, _ := g.serve(t)
	c := newClient(t, m)
	gone := make(chan struct{})
	go func() {
		for g.served() == 0 {
			time.Sleep(time.Millisecond)
		}
		close(gone)
	}()
	require.Equal(t, 499, c.Sweep(request("r-1"), route(), always, gone).Status)
	<-ended
}

func TestHostWithoutGatherersServesSweepsItself(t *testing.T) {
	c := newClient(t)
	require.Nil(t, c.Sweep(request("r-1"), route(), always, nil))
	c.SetGatherers([]gathering.Member{{Addr: "self"}, {Addr: "127.0.0.1:1"}})
	require.Empty(t, c.preferred, "a gatherer passes nothing on")
}
