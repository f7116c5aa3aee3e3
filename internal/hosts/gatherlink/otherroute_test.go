package gatherlink

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// singleRoute is a route of one service.
func singleRoute(idempotent bool) *catalog.Route {
	r := unsafeRoute()
	r.Idempotent, r.Priority, r.AllowedRegions = idempotent, 2, []string{"north"}
	r.Split = append(r.Split, catalog.WeightedService{Service: "t", Weight: 0.5})
	r.Fingerprint = route().Fingerprint
	return r
}

// handsOver returns a client that hands requests over to the given hosts.
func handsOver(t *testing.T, hosts ...gathering.Member) *Client {
	t.Helper()
	c := newClient(t, hosts...)
	c.opts.HandsOver = true
	c.opts.Regions = catalog.Regions{Own: "north", ByDomain: map[string]string{"": "north"}}
	return c
}

// TestRequestIsHandedToHostWithTheSameRouteFirst guards against a request that a host with an older
// configuration serves, and against such a host that then gets no request of other routes.
func TestRequestIsHandedToHostWithTheSameRouteFirst(t *testing.T) {
	older := &fakeGatherer{accepts: true, termsOnly: true, gather: answering(200)}
	same := &fakeGatherer{accepts: true, gather: answering(200)}
	m1, _, _ := older.serve(t)
	m2, _, _ := same.serve(t)
	c := handsOver(t, m1, m2)
	for i := range 10 {
		require.Equal(t, 200, c.HandOver(request(fmt.Sprint("r-", i)), singleRoute(false), cutOff(), nil).Status)
	}
	require.Zero(t, older.served())
	require.Equal(t, 10, same.served())
	for _, l := range c.links {
		require.True(t, l.usable(c.opts.Now()), "it takes requests of other routes")
	}
}

// TestRequestIsServedByTheRouteOfItsHostIfAllOthersDiffer guards against callers of a host without
// links to targets that are refused while a configuration spreads.
func TestRequestIsServedByTheRouteOfItsHostIfAllOthersDiffer(t *testing.T) {
	older := &fakeGatherer{accepts: true, termsOnly: true, gather: answering(200)}
	m, _, _ := older.serve(t)
	c := handsOver(t, m)
	for _, r := range []*catalog.Route{singleRoute(false), singleRoute(true), route()} {
		h := cutOff()
		h.ConfigVersion = 7
		require.Equal(t, 200, c.HandOver(request("r"), r, h, nil).Status)
		got := older.routes[len(older.routes)-1]
		require.Equal(t, int64(7), got.Version)
		require.Equal(t, r.Fingerprint, got.Fingerprint)
		require.Equal(t, routeTermsOf(r), routeTermsOf(got.Terms))
		require.Equal(t, catalog.NewRoute(*r).Fingerprint, got.Terms.Fingerprint)
	}
}

// TestSweepIsGatheredOnlyByHostWithTheSameRoute guards against a sweep that a gatherer serves by the
// shards of an older configuration: the host can serve it itself.
func TestSweepIsGatheredOnlyByHostWithTheSameRoute(t *testing.T) {
	older := &fakeGatherer{accepts: true, termsOnly: true, gather: answering(200)}
	m, _, _ := older.serve(t)
	require.Nil(t, newClient(t, m).Sweep(request("r"), route(), always, nil))
	require.Zero(t, older.served())
}

// TestUnsafeRequestIsNotHandedToHostThatDoesNotCompareRoutes guards against a second run at a host of
// an earlier build, whose route for the request may allow it.
func TestUnsafeRequestIsNotHandedToHostThatDoesNotCompareRoutes(t *testing.T) {
	earlier := func() gathering.Member {
		return serveFrames(t, func(id uint64) []byte {
			return marshalFrame(t, &frame{Kind: kindAnswer, ID: id, Answer: answerOf(&exchange.Answer{Status: 200})})
		})
	}
	require.Nil(t, handsOver(t, earlier()).HandOver(request("unsafe"), singleRoute(false), cutOff(), nil))
	require.Equal(t, 200, handsOver(t, earlier()).HandOver(request("safe"), singleRoute(true), cutOff(), nil).Status)
	require.Equal(t, 200, handsOver(t, earlier()).HandOver(request("sweep"), route(), cutOff(), nil).Status)
}

// TestRequestsOfEarlierBuildsAreRead guards against a request of an earlier build, which says nothing
// of a single route, that is taken for one of the same route.
func TestRequestsOfEarlierBuildsAreRead(t *testing.T) {
	require.Equal(t, exchange.PassedRoute{}, (&passedRequest{}).route())
	require.Equal(t, exchange.PassedRoute{Fingerprint: 5}, (&passedRequest{Fingerprint: 5}).route())
	sent := passedRequestOf(request("r"), singleRoute(true), request("r").Arrived)
	require.Zero(t, sent.Fingerprint, "earlier builds refuse a single request with another one")
}
