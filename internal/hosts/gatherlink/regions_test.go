package gatherlink

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestSweepIsPassedOnWithinHomeOrOwnRegionOnly guards against a sweep that is passed on to
// a gatherer outside the home regions and the host's own one, or in an unknown region.
func TestSweepIsPassedOnWithinHomeOrOwnRegionOnly(t *testing.T) {
	g := &fakeGatherer{accepts: true, gather: answering(200)}
	member, _, _ := g.serve(t)
	for _, c := range []struct {
		home   []string
		domain string
		served bool
	}{
		{domain: "far", served: true},
		{home: []string{"north"}, domain: "far"},
		{home: []string{"north"}, domain: "unknown"},
		{home: []string{"north"}, domain: "next", served: true},
		{home: []string{"north"}, domain: "own", served: true},
	} {
		member.FailureDomain = c.domain
		client := newClient(t, member)
		client.opts.Regions = catalog.Regions{Own: "middle", ByDomain: map[string]string{"far": "south", "next": "north", "own": "middle"}}
		r := route()
		r.AllowedRegions = c.home
		answer := client.Sweep(request(fmt.Sprint(c)), r, always, nil)
		require.Equal(t, c.served, answer != nil, "%v", c)
	}
	require.Equal(t, 3, g.served())
}

// TestOneGathererOfOwnRegionIsLinkedWhereRoutesHaveHomeRegions guards against hosts whose
// links all lead to regions that a route doesn't allow.
func TestOneGathererOfOwnRegionIsLinkedWhereRoutesHaveHomeRegions(t *testing.T) {
	members := make([]gathering.Member, 0, linksPerHost+1)
	for i := range linksPerHost + 1 {
		members = append(members, gathering.Member{Addr: fmt.Sprint(i), FailureDomain: fmt.Sprint("d-", i)})
	}
	ordered := gathering.Order("self", "d-self", members)
	last := ordered[linksPerHost]
	client := NewClient(Options{Self: gathering.Member{Addr: "self", FailureDomain: "d-self"}, Regions: catalog.Regions{
		Own: "north", ByDomain: map[string]string{last.FailureDomain: "north"},
	}})
	client.SetGatherers(members)
	require.NotContains(t, client.preferred, last)
	client.RequireOwnRegion(true)
	client.SetGatherers(members)
	require.Len(t, client.preferred, linksPerHost)
	require.Contains(t, client.preferred, last)
	require.Equal(t, ordered[:linksPerHost-1], client.preferred[:linksPerHost-1])
}
