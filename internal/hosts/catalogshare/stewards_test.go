package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// linkedFollower returns a follower of the hub at addr.
func linkedFollower(t *testing.T, addr string) *Source {
	t.Helper()
	s, _ := newSource(addr)
	_, err := s.Read(catalog.Position{})
	require.NoError(t, err)
	return s
}

// publishFirst gives a hub its first entries, without which it accepts no links.
func publishFirst(hub *Hub) {
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
}

// renewUntil renews the followers' rights and handles their messages until the condition
// holds. The reader's data stays fresh meanwhile.
func renewUntil(t *testing.T, hub *Hub, condition func() bool, followers ...*Source) {
	t.Helper()
	require.Eventually(t, func() bool {
		hub.Publish(newBatch(7))
		for _, s := range followers {
			s.RenewStewards(false)
			_, err := s.Watch(at(7), time.Second)
			require.NoError(t, err)
		}
		return condition()
	}, eventuallyTimeout, time.Millisecond)
}

// TestFollowerUsesListThatReaderKeepsUp covers the way of a list from a reader to its
// followers: each may use it only once it has been stable, and stops when the reader is gone.
func TestFollowerUsesListThatReaderKeepsUp(t *testing.T) {
	hub, addr, _ := serve(t)
	publishFirst(hub)
	hub.SetStewardship(Stewardship{Permits: 10})
	first, second := linkedFollower(t, addr), linkedFollower(t, addr)
	began := time.Now()
	usable := func(s *Source) bool { return s.opts.Hub.Stewards(time.Now()) != nil }
	renewUntil(t, hub, func() bool { return usable(first) && usable(second) }, first, second)
	require.GreaterOrEqual(t, time.Since(began), warmup.StableFor)
	require.Equal(t, 3, first.opts.Hub.Stewards(time.Now()).Hosts)
	hosts, _ := first.opts.Hub.Hosts()
	require.Equal(t, 3, hosts, "answers carry no counts and leave those of the heartbeats")
	require.Nil(t, first.opts.Hub.Stewards(time.Now().Add(warmup.FreshFor)), "the right lapses without a confirmation")
	hub.SetStewardship(Stewardship{})
	renewUntil(t, hub, func() bool { return !usable(second) }, second)
}

// TestListCountsEachLinkAtOnce guards against shares for fewer hosts than are linked.
func TestListCountsEachLinkAtOnce(t *testing.T) {
	hub, addr, _ := serve(t)
	publishFirst(hub)
	hub.SetStewardship(Stewardship{Permits: 10})
	for linked := 2; linked <= 4; linked++ {
		linkedFollower(t, addr)
		hub.mu.Lock()
		list, _ := hub.issueStewards(time.Now())
		hub.mu.Unlock()
		require.Equal(t, linked, list.Hosts)
	}
}

// TestListNamesStewardsAndGatherersWhereHostsAreMany covers a fleet with more hosts than a
// cold target has permits, in which members and gatherers hold the shares.
func TestListNamesStewardsAndGatherersWhereHostsAreMany(t *testing.T) {
	hub, _, _ := serve(t)
	hub.self.Addr = "10.0.0.1:1"
	hub.recordReaderCounts("10.0.0.2:1", &message{OwnHosts: 50, Members: []gathering.Member{{Addr: "10.0.0.2:1"}, {Addr: "10.0.0.3:1"}}})
	hub.SelectGatherers(51)
	issue := func(s Stewardship) (warmup.List, uint64) {
		hub.SetStewardship(s)
		hub.mu.Lock()
		defer hub.mu.Unlock()
		return hub.issueStewards(time.Now())
	}
	list, _ := issue(Stewardship{LeastPermits: 60, Permits: 70, Hosts: 51})
	require.Equal(t, warmup.List{Hosts: 51}, list, "no service needs stewards")
	list, _ = issue(Stewardship{LeastPermits: 10, Permits: 70, Hosts: 51})
	require.Equal(t, 51, list.Hosts)
	require.Len(t, list.Stewards, 3, "one service needs them")
	list, generation := issue(Stewardship{LeastPermits: 10, Permits: 10, Hosts: 51, Gathers: true})
	require.EqualValues(t, 3, generation)
	require.Zero(t, list.Hosts)
	require.Equal(t, []string{"10.0.0.1:1", "10.0.0.2:1", "10.0.0.3:1"}, list.Stewards)
	require.Equal(t, list.Stewards, list.Gatherers)
}

// TestReaderThatIssuesNothingGivesNoRight guards against a host that takes silence for a right.
func TestReaderThatIssuesNothingGivesNoRight(t *testing.T) {
	hub, addr, _ := serve(t)
	publishFirst(hub)
	s := linkedFollower(t, addr)
	answers := 0
	renewUntil(t, hub, func() bool {
		answers++
		require.Nil(t, s.opts.Hub.lease.Load())
		return answers > 4
	}, s)
}

// TestAnswerToOldQuestionIsIgnored guards against a right that begins with a late answer.
func TestAnswerToOldQuestionIsIgnored(t *testing.T) {
	var q askedQuestions
	now := time.Now()
	for i := range 6 {
		q.next(now.Add(time.Duration(i) * stewardsInterval))
	}
	for number, open := range map[uint64]bool{0: false, 1: false, 2: false, 3: true, 6: true, 7: false} {
		at, known := q.time(number)
		require.Equal(t, open, known, "question %d", number)
		if open {
			require.Equal(t, now.Add(time.Duration(number-1)*stewardsInterval), at)
		}
	}
}
