package dispatch

import (
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// fakeTransport answers or fails the calls to a host by the host's function in
// serve, and refuses calls to hosts without one. It implements only Go, the only
// method that this package calls.
type fakeTransport struct {
	peer.Transport
	mu    sync.Mutex
	calls []model.HostID
	serve map[model.HostID]func(req *subquery.Request) (*subquery.Answer, error)
}

func (f *fakeTransport) Go(to model.HostID, _ peer.Kind, req any, _ time.Time, done func(cbor.RawMessage, error)) func() {
	f.mu.Lock()
	f.calls = append(f.calls, to)
	serve := f.serve[to]
	f.mu.Unlock()
	if serve == nil {
		done(nil, verdict.Refuse(verdict.OwnerUnreachable, 0, "no link"))
		return func() {}
	}
	var once sync.Once
	go func() {
		answer, err := serve(req.(*subquery.Request))
		var raw cbor.RawMessage
		if err == nil {
			raw, err = cbor.Marshal(answer)
		}
		once.Do(func() { done(raw, err) })
	}()
	return func() {
		once.Do(func() { done(nil, &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.Cancelled}) })
	}
}

// servesAll answers every sub-request with the host's name as the message.
func servesAll(host string) func(req *subquery.Request) (*subquery.Answer, error) {
	return func(req *subquery.Request) (*subquery.Answer, error) {
		a := echo(req)
		a.Message = host
		return a, nil
	}
}

func failsWith(v verdict.Verdict, r verdict.Reason) func(req *subquery.Request) (*subquery.Answer, error) {
	return func(*subquery.Request) (*subquery.Answer, error) { return nil, &verdict.Error{Verdict: v, Reason: r} }
}

// localOnly is a Dispatcher that answers every sub-request with the message
// "local".
type localOnly struct{}

func (localOnly) Submit(req *subquery.Request, done func(*subquery.Answer)) func() {
	a := echo(req)
	a.Message = "local"
	done(a)
	return func() {}
}

func newTestRouter(owners view.Owners, serve map[model.HostID]func(*subquery.Request) (*subquery.Answer, error)) (*Router, *fakeTransport) {
	v := ownView("h0", 1, 2, 25)
	v.Owners["t0"] = owners
	transport := &fakeTransport{serve: serve}
	return NewRouter(RouterOptions{Views: newViews(v), Local: localOnly{}, Remote: NewRemote(transport), Scope: tally.NoopScope}), transport
}

// routeAndWait submits a sub-request to the router and waits for its answer.
func routeAndWait(r *Router, req *subquery.Request) *subquery.Answer {
	got := make(chan *subquery.Answer, 1)
	r.Submit(req, func(a *subquery.Answer) { got <- a })
	return <-got
}

func TestRouterSendsToOwner(t *testing.T) {
	r, _ := newTestRouter(view.Owners{Owner: "h1", Standby: "h0"}, map[model.HostID]func(*subquery.Request) (*subquery.Answer, error){"h1": servesAll("h1")})
	a := routeAndWait(r, subrequest("t0", "s", time.Minute))
	require.Equal(t, "h1", a.Message)
	require.Equal(t, []byte("s"), a.Body)
	r, _ = newTestRouter(view.Owners{Owner: "h0", Standby: "h1"}, nil)
	require.Equal(t, "local", routeAndWait(r, subrequest("t0", "s", time.Minute)).Message)
}

func TestRouterSendsToStandbyOnlyIfOwnerDidNotRun(t *testing.T) {
	for _, c := range []struct {
		verdict  verdict.Verdict
		reason   verdict.Reason
		reroutes bool
	}{
		{verdict.NotRun, verdict.OwnerUnreachable, true},
		{verdict.NotRun, verdict.NotOwner, true},
		{verdict.NotRun, verdict.HostStopping, true},
		{verdict.NotRun, verdict.PeerLinkLost, true},
		{verdict.Unknown, verdict.PeerLinkLost, false},
		{verdict.Unknown, verdict.TargetSilent, false},
		{verdict.NotRun, verdict.TargetShed, false},
		{verdict.NotRun, verdict.QueueFull, false},
	} {
		r, transport := newTestRouter(view.Owners{Owner: "h1", Standby: "h2"}, map[model.HostID]func(*subquery.Request) (*subquery.Answer, error){
			"h1": failsWith(c.verdict, c.reason), "h2": servesAll("h2"),
		})
		a := routeAndWait(r, subrequest("t0", "s", time.Minute))
		require.Equal(t, c.reroutes, a.OK(), "%s %s", c.verdict, c.reason)
		if !c.reroutes {
			require.Equal(t, c.reason, a.Reason)
			require.Equal(t, c.verdict, a.Verdict)
			require.Equal(t, []model.HostID{"h1"}, transport.calls)
		}
	}
}

func TestRouterWithoutOwnersRefuses(t *testing.T) {
	r, _ := newTestRouter(view.Owners{}, nil)
	a := routeAndWait(r, subrequest("t0", "s", time.Minute))
	require.Equal(t, verdict.OwnerUnreachable, a.Reason)
	require.Equal(t, verdict.NotRun, a.Verdict)
	r, _ = newTestRouter(view.Owners{Standby: "h0"}, nil)
	require.True(t, routeAndWait(r, subrequest("t0", "s", time.Minute)).OK())
}

func TestRouterCancelReachesCurrentHost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		blocked := make(chan struct{})
		r, transport := newTestRouter(view.Owners{Owner: "h1", Standby: "h2"}, map[model.HostID]func(*subquery.Request) (*subquery.Answer, error){
			"h1": failsWith(verdict.NotRun, verdict.NotOwner),
			"h2": func(*subquery.Request) (*subquery.Answer, error) { <-blocked; return nil, nil },
		})
		defer close(blocked)
		got := make(chan *subquery.Answer, 2)
		cancel := r.Submit(subrequest("t0", "s", time.Minute), func(a *subquery.Answer) { got <- a })
		synctest.Wait()
		require.Equal(t, []model.HostID{"h1", "h2"}, transport.calls)
		cancel()
		a := <-got
		require.Equal(t, verdict.Cancelled, a.Reason)
		require.Equal(t, verdict.Unknown, a.Verdict)
		cancel()
		require.Empty(t, got)
	})
}

func TestUndecodableReplyHasVerdictUnknown(t *testing.T) {
	a := decodeAnswer(cbor.RawMessage{0xff}, nil)
	require.Equal(t, verdict.Unknown, a.Verdict)
	require.Equal(t, verdict.ReplyTruncated, a.Reason)
	a = decodeAnswer(cbor.RawMessage{0xa0}, nil)
	require.Equal(t, verdict.Unknown, a.Verdict)
}
