package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// pauseFollower is a follower that records what it gets about pauses.
type pauseFollower struct {
	*Source
	ends   chan stall.SharedEnd
	tables chan []stall.SharedPattern
}

func followPauses(t *testing.T, reader, self string) *pauseFollower {
	t.Helper()
	s, _ := newSource(reader)
	s.opts.Hub.self.Addr = self
	f := &pauseFollower{Source: s, ends: make(chan stall.SharedEnd, 100), tables: make(chan []stall.SharedPattern, 100)}
	s.opts.Hub.SetPauseHooks(recordPauses(f.ends, f.tables))
	_, err := s.Read(catalog.Position{})
	require.NoError(t, err)
	return f
}

func recordPauses(ends chan stall.SharedEnd, tables chan []stall.SharedPattern) PauseHooks {
	return PauseHooks{
		AddEnds: func(got []stall.SharedEnd) {
			for _, e := range got {
				ends <- e
			}
		},
		AddTable: func(table []stall.SharedPattern) { tables <- table },
		Table:    func() []stall.SharedPattern { return []stall.SharedPattern{{Target: "known"}} },
	}
}

// watchUntil takes messages until done.
func (f *pauseFollower) watchUntil(t *testing.T, done func() bool) {
	t.Helper()
	require.Eventually(t, func() bool {
		_, err := f.Watch(at(7), time.Second)
		require.NoError(t, err)
		return done()
	}, eventuallyTimeout, time.Millisecond)
}

// TestPauseEndsReachGatherersOfAllReadersOnly guards against gatherers that learn alone,
// against messages to hosts that have no use for them, and against ends that readers send
// to each other again and again.
func TestPauseEndsReachGatherersOfAllReadersOnly(t *testing.T) {
	near, nearAddr, _ := serve(t)
	far, farAddr, _ := serve(t)
	first := newBatch(7, "a")
	first.Full = true
	gatherers := []gathering.Member{{Addr: "g-1"}, {Addr: "g-2"}}
	ends, tables := make(chan stall.SharedEnd, 100), make(chan []stall.SharedPattern, 100)
	for _, h := range []*Hub{near, far} {
		h.mu.Lock()
		h.gatherers = gatherers
		h.mu.Unlock()
		h.SetPauseHooks(recordPauses(ends, tables))
		h.Publish(first)
	}
	observeReader(t, far, farAddr, nearAddr)
	observeReader(t, near, nearAddr, farAddr)
	reporter, receiver, other := followPauses(t, nearAddr, "g-1"), followPauses(t, farAddr, "g-2"), followPauses(t, farAddr, "h-3")
	receiver.watchUntil(t, func() bool { return len(receiver.tables) > 0 })
	require.Equal(t, "known", (<-receiver.tables)[0].Target, "a new gatherer gets the table")
	require.Eventually(t, func() bool {
		near.mu.Lock()
		defer near.mu.Unlock()
		return len(near.followers) == 2
	}, eventuallyTimeout, time.Millisecond)
	reporter.Report(nil, []stall.SharedEnd{{Target: "t-1", AgeMS: 100, LengthMS: 120}, {Target: "old", AgeMS: 60_000, LengthMS: 120}})
	receiver.watchUntil(t, func() bool { return len(receiver.ends) > 0 })
	got := <-receiver.ends
	require.Equal(t, "t-1", got.Target)
	require.EqualValues(t, 120, got.LengthMS)
	require.GreaterOrEqual(t, got.AgeMS, int64(100))
	for range 4 {
		_, err := other.Watch(at(7), time.Second)
		require.NoError(t, err)
		_, err = receiver.Watch(at(7), time.Second)
		require.NoError(t, err)
	}
	require.Empty(t, other.ends)
	require.Empty(t, other.tables)
	require.Empty(t, receiver.ends, "each end is sent once")
	require.Empty(t, receiver.tables, "so is the table")
}

// observeReader makes a reader keep a link to another one.
func observeReader(t *testing.T, hub *Hub, self, other string) {
	t.Helper()
	s, _ := newSource(self, other)
	s.opts.Hub, s.opts.Self = hub, self
	go s.Observe(t.Context())
}
