package gatherlink

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// unsafeRoute is a route whose requests must not be repeated.
func unsafeRoute() *catalog.Route {
	r := route()
	r.Shards, r.Idempotent = nil, false
	r.Split = []catalog.WeightedService{{Service: "s", Weight: 1}}
	return r
}

// cutOff is the handover of a host that has lost all targets and sent nothing.
func cutOff() exchange.Handover { return exchange.Handover{LostShare: 1, Again: always} }

// TestRequestsAreHandedOverOnlyToHostsThatReachTheTargets guards against requests that a host
// without links passes on to another one, and against one host that gets all.
func TestRequestsAreHandedOverOnlyToHostsThatReachTheTargets(t *testing.T) {
	able := []*fakeGatherer{{accepts: true, gather: answering(200)}, {accepts: true, lostShare: 0.05, gather: answering(200)}}
	cut := &fakeGatherer{accepts: true, lostShare: 0.9, gather: answering(200)}
	m1, _, _ := able[0].serve(t)
	m2, _, _ := cut.serve(t)
	m3, _, _ := able[1].serve(t)
	c := newClient(t, m1, m2, m3)
	for i := range 10 {
		a := c.HandOver(request(fmt.Sprint("r-", i)), route(), cutOff(), nil)
		require.NotNil(t, a)
		require.Equal(t, 200, a.Status)
	}
	require.Equal(t, 5, able[0].served())
	require.Equal(t, 5, able[1].served())
	require.Zero(t, cut.served())
	require.Nil(t, c.HandOver(request("few"), route(), exchange.Handover{LostShare: 0.04, Again: always}, nil), "no host is much better off")
}

// TestReplyOfTargetIsHandedOverWhole guards against replies that lose their signature, headers
// or body on the way between hosts.
func TestReplyOfTargetIsHandedOverWhole(t *testing.T) {
	reply := &exchange.Reply{Status: 201, Signature: "sig", Forward: []byte("A: b\r\n"), Body: []byte("body")}
	g := &fakeGatherer{accepts: true, gather: func(*exchange.Request, <-chan struct{}) *exchange.Answer {
		return &exchange.Answer{Status: reply.Status, Relayed: reply}
	}}
	member, _, _ := g.serve(t)
	c := newClient(t, member)
	a := c.HandOver(request("r"), route(), cutOff(), nil)
	require.Equal(t, &exchange.Answer{Status: 201, Relayed: reply}, a)
}

// TestUnsafeRequestIsNotHandedOverAgainAfterItMayHaveRun guards against a second run after the
// other host was lost, and against a refusal of what may have run.
func TestUnsafeRequestIsNotHandedOverAgainAfterItMayHaveRun(t *testing.T) {
	begun := make(chan struct{})
	lost := &fakeGatherer{accepts: true, gather: func(_ *exchange.Request, gone <-chan struct{}) *exchange.Answer {
		close(begun)
		<-gone
		return &exchange.Answer{Status: 499}
	}}
	other := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, endLost := lost.serve(t)
	m2, _, _ := other.serve(t)
	c := newClient(t, m2, m1)
	status := make(chan int, 1)
	go func() { status <- c.HandOver(request("r"), unsafeRoute(), cutOff(), nil).Status }()
	<-begun
	endLost()
	require.Equal(t, 502, <-status)
	require.Zero(t, other.served())
}

// TestRefusalIsNoPromiseForRequestThatThisHostHasSent guards against telling a caller that its
// request has not run after this host had sent it itself.
func TestRefusalIsNoPromiseForRequestThatThisHostHasSent(t *testing.T) {
	g := &fakeGatherer{accepts: true, gather: answering(503)}
	member, _, _ := g.serve(t)
	c := newClient(t, member)
	h := cutOff()
	h.MayHaveRun = true
	require.Equal(t, 502, c.HandOver(request("r"), route(), h, nil).Status)
	h.Again = func() bool { return false }
	require.Nil(t, c.HandOver(request("r"), route(), h, nil), "it has no attempts left")
	require.Equal(t, 1, g.served())
}

// TestGathererThatIsCutOffIsReplaced guards against hosts whose sweeps go to gatherers without
// links to targets while others have some.
func TestGathererThatIsCutOffIsReplaced(t *testing.T) {
	cut := &fakeGatherer{accepts: true, lostShare: 1, gather: answering(200)}
	able := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, _ := cut.serve(t)
	m2, _, _ := able.serve(t)
	m1.FailureDomain = "own"
	c := newClient(t, m1)
	c.mu.Lock()
	c.opts.Self.FailureDomain, c.opts.Links = "own", 1
	c.mu.Unlock()
	require.Eventually(t, func() bool {
		c.SetGatherers([]gathering.Member{m1, m2})
		a := c.Sweep(request("r"), route(), always, nil)
		return a != nil && able.served() > 0
	}, eventuallyTimeout, 10*time.Millisecond)
}
