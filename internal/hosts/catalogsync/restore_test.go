package catalogsync

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// inEra returns a position of a store that reports its era.
func inEra(era, revision int64) catalog.Position {
	return catalog.Position{Era: era, Revision: revision}
}

// writtenAt returns a target's entry with its revision and the start of the target.
func writtenAt(id string, revision, born int64) Change {
	c := target(id)
	c.Revision = revision
	c.Target.Born = born
	return c
}

func TestBatchOfLaterEraContinuesOnlyIfFull(t *testing.T) {
	p := progress{log: nullLogger()}
	_, err := p.accept(Batch{Full: true, Position: inEra(3, 100)})
	require.NoError(t, err)
	_, err = p.accept(Batch{Position: inEra(4, 120)})
	require.ErrorIs(t, err, ErrCompacted, "revisions of another era don't continue")
	p.forget(err)
	batch, err := p.accept(Batch{Full: true, Position: inEra(4, 90)})
	require.NoError(t, err)
	require.True(t, batch.AfterOutage, "what the copy lacks is held for a while")
	require.Equal(t, inEra(4, 90), p.position)
	_, err = p.accept(Batch{Full: true, Position: inEra(3, 200)})
	require.ErrorIs(t, err, errEarlierEra)
	require.Equal(t, inEra(4, 90), p.position)
}

func TestRestoreKeepsConfigurationAndHoldsTargets(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: inEra(1, 50), Changes: []Change{config(7), target("a"), target("b")}}, now)
	s.apply(Batch{Full: true, AfterOutage: true, Position: inEra(2, 40), Changes: []Change{config(5), target("a")}}, now)
	require.EqualValues(t, 7, s.view().Config.Version)
	require.Len(t, s.view().ByService["s"], 2, "b is not in the copy, but may write again")
	require.True(t, s.expire(now.Add(removalDelay)))
	require.Len(t, s.view().ByService["s"], 1)
	require.Equal(t, inEra(2, 40), s.view().Position)
}

// TestRestoreDoesNotReviveTargetsThatLeft restores a copy that shows one target ready
// that had left, one that is leaving and the earlier start of one that had restarted.
func TestRestoreDoesNotReviveTargetsThatLeft(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: inEra(1, 10), Changes: []Change{writtenAt("gone", 5, 1), writtenAt("leaving", 6, 1), writtenAt("again", 7, 1)}}, now)
	leaving := writtenAt("leaving", 11, 1)
	leaving.Target.Leaving = true
	s.apply(Batch{Position: inEra(1, 13), Changes: []Change{removal("gone"), leaving, writtenAt("again", 13, 2)}}, now)
	require.Len(t, s.view().ByService["s"], 1)

	older := Batch{Full: true, AfterOutage: true, Position: inEra(2, 10), Changes: []Change{writtenAt("gone", 5, 1), writtenAt("leaving", 6, 1), writtenAt("again", 7, 1)}}
	s.apply(older, now)
	require.Len(t, s.view().ByService["s"], 1)
	require.EqualValues(t, 2, s.view().Targets["again"].Born)

	require.True(t, s.apply(Batch{Position: inEra(2, 11), Changes: []Change{writtenAt("leaving", 11, 1)}}, now), "what it writes after the restore is believed")
	require.Len(t, s.view().ByService["s"], 2)
	require.False(t, s.expire(now.Add(copyDoubt-time.Millisecond)))
	require.True(t, s.expire(now.Add(copyDoubt)), "a living target's entry doesn't lapse")
	require.Len(t, s.view().ByService["s"], 3)
}

func TestHeldTargetWhoseEntryLapsesStaysGone(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	s.apply(Batch{Full: true, Position: inEra(1, 10), Changes: []Change{writtenAt("gone", 5, 1)}}, now)
	s.apply(Batch{Position: inEra(1, 11), Changes: []Change{removal("gone")}}, now)
	s.apply(Batch{Full: true, Position: inEra(2, 8), Changes: []Change{writtenAt("gone", 5, 1)}}, now)
	s.apply(Batch{Position: inEra(2, 9), Changes: []Change{removal("gone")}}, now.Add(time.Second))
	require.False(t, s.expire(now.Add(copyDoubt)))
	require.Empty(t, s.view().Targets)
}

// TestDoubtNamesWhatStartingHostsMustNotGet guards against hosts that start shortly after
// the store came back from an older copy and use targets of it that have left.
func TestDoubtNamesWhatStartingHostsMustNotGet(t *testing.T) {
	s := newState(nullLogger())
	now := time.Now()
	leaving := target("leaving")
	leaving.Target.Leaving = true
	all := []Change{target("gone"), target("leaving"), target("stays")}
	s.apply(Batch{Full: true, Position: at(3), Changes: all}, now)
	s.apply(Batch{Position: at(5), Changes: []Change{removal("gone"), leaving}}, now)
	require.True(t, s.takeDoubt().isZero())
	s.apply(Batch{Full: true, Position: catalog.Position{Era: 1, Revision: 3}, Changes: []Change{target("gone"), target("leaving"), target("stays")}}, now)
	doubt := s.takeDoubt()
	require.Equal(t, []string{"t/gone", "t/leaving"}, doubt.Withheld)
	require.Equal(t, now.Add(copyDoubt), doubt.Until)
	require.True(t, s.takeDoubt().isZero())
	s.expire(now.Add(copyDoubt))
	require.Equal(t, []string{"t/gone"}, s.takeDoubt().Released)
}
