package catalogsync

import (
	"errors"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

func config(version int64) Change {
	return Change{Kind: ConfigChange, Config: catalog.NewConfig(version, nil, nil, catalog.Limits{})}
}

func target(id string) Change {
	return Change{Kind: TargetChange, Key: "t/" + id, Target: &catalog.Target{ID: catalog.TargetID(id), Service: "s", Addr: "127.0.0.1:1"}}
}

func removal(id string) Change { return Change{Kind: TargetChange, Key: "t/" + id, Deleted: true} }

// at returns a position of a store that reports no era.
func at(revision int64) catalog.Position { return catalog.Position{Revision: revision} }

func nullLogger() logrus.FieldLogger {
	log, _ := test.NewNullLogger()
	return log
}

func TestLowerOrUnreadableVersionIsIgnored(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Position: at(5), Changes: []Change{config(7)}}, now)
	require.False(t, s.apply(Batch{Position: at(6), Changes: []Change{config(6)}}, now))
	require.False(t, s.apply(Batch{Position: at(7), Changes: []Change{{Kind: ConfigChange, Err: errors.New("x")}}}, now))
	require.EqualValues(t, 7, s.view().Config.Version)
	require.True(t, s.apply(Batch{Position: at(8), Changes: []Change{config(9)}}, now))
	require.EqualValues(t, 9, s.view().Config.Version)
}

func TestRemovedEntryIsDroppedAtOnceWithoutStoreOutage(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a"), target("b")}}, now)
	require.True(t, s.apply(Batch{Position: at(2), Changes: []Change{removal("a")}}, now))
	require.Len(t, s.view().Targets, 1)
	require.True(t, s.apply(Batch{Full: true, Position: at(3)}, now))
	require.Empty(t, s.view().Targets)
}

func TestRemovalIsDelayedAfterStoreOutage(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a"), target("b"), target("c")}}, now)
	require.False(t, s.apply(Batch{AfterOutage: true, Position: at(4), Changes: []Change{removal("a"), removal("b")}}, now))
	require.Len(t, s.view().ByService["s"], 3)
	s.apply(Batch{Position: at(5), Changes: []Change{target("a")}}, now.Add(time.Second))
	require.False(t, s.expire(now.Add(removalDelay-time.Millisecond)))
	require.True(t, s.expire(now.Add(removalDelay)))
	require.Len(t, s.view().ByService["s"], 2, "a was rewritten, c was never removed, b is gone")
	require.True(t, s.apply(Batch{Position: at(6), Changes: []Change{removal("c")}}, now.Add(removalDelay+time.Second)))
}

func TestLeavingTargetIsDroppedAtOnceAfterStoreOutage(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a")}}, now)
	leaving := target("a")
	leaving.Target.Leaving = true
	require.True(t, s.apply(Batch{AfterOutage: true, Position: at(2), Changes: []Change{leaving}}, now))
	require.Empty(t, s.view().ByService["s"])
}

func TestUnreadableEntryRemovesOnlyItsTarget(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	unreadable := Change{Kind: TargetChange, Key: "t/a", Err: errors.New("fields are missing")}
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a"), target("b")}}, now)
	require.True(t, s.apply(Batch{Position: at(2), Changes: []Change{unreadable}}, now))
	require.Len(t, s.view().ByService["s"], 1)
}

func TestOnlyNewStartOfTargetChangesView(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a")}}, now)
	require.False(t, s.apply(Batch{Position: at(2), Changes: []Change{target("a")}}, now))
	restarted := target("a")
	restarted.Target.Born = 5
	require.True(t, s.apply(Batch{Position: at(3), Changes: []Change{restarted}}, now))
}

// TestSecondOutageDoesNotDelayEarlierRemovals guards against targets that stay in use after
// their time, since the next check was scheduled for the removals of a later outage.
func TestSecondOutageDoesNotDelayEarlierRemovals(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: at(1), Changes: []Change{target("a"), target("b")}}, now)
	s.apply(Batch{AfterOutage: true, Position: at(2), Changes: []Change{removal("a")}}, now)
	second := now.Add(removalDelay / 2)
	s.apply(Batch{AfterOutage: true, Position: at(3), Changes: []Change{removal("b")}}, second)
	require.Equal(t, removalDelay/2, s.nextExpiry(second))
	require.True(t, s.expire(now.Add(removalDelay)))
	require.Len(t, s.view().Targets, 1)
	require.Equal(t, removalDelay/2, s.nextExpiry(now.Add(removalDelay)))
}
