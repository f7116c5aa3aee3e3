package catalogsync

import (
	"errors"
	"slices"
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// evacuationHost is a host's evacuations with the view made from them.
type evacuationHost struct {
	filter *evacuations
	state  *state
	last   Batch
}

func newEvacuationHost() *evacuationHost {
	return &evacuationHost{filter: newEvacuations(nullLogger()), state: newState(nullLogger())}
}

// read applies a batch and returns the evacuated domains in order.
func (h *evacuationHost) read(b Batch, now time.Time) []string {
	h.last = h.filter.settle(b, now)
	h.state.apply(h.last, now)
	domains := lo.Keys(h.state.view().Evacuations)
	slices.Sort(domains)
	return domains
}

func evacuate(domain string, revision int64) Change {
	return Change{Kind: EvacuationChange, Key: "e/" + domain, Domain: domain, Revision: revision}
}

func withdraw(domain string, revision int64) Change {
	c := evacuate(domain, revision)
	c.Deleted = true
	return c
}

func full(era, revision int64, changes ...Change) Batch {
	return Batch{Full: true, Position: inEra(era, revision), Changes: changes}
}

func watched(era, revision int64, changes ...Change) Batch {
	return Batch{Position: inEra(era, revision), Changes: changes}
}

func TestEvacuatedTargetsTakeNoNewWorkUntilKeyIsDeleted(t *testing.T) {
	h, now := newEvacuationHost(), time.Now()
	inDomain := func(id, domain string) Change {
		c := target(id)
		c.Target.FailureDomain = domain
		return c
	}
	require.Equal(t, []string{"x", "y"}, h.read(full(1, 9, evacuate("y", 4), evacuate("x", 5), inDomain("a", "x"), inDomain("b", "z")), now))
	require.Len(t, h.state.view().ByService["s"], 1)
	require.Len(t, h.state.view().Targets, 2)
	require.Equal(t, catalog.Evacuation{Domain: "x", Position: inEra(1, 5), Since: now}, h.state.view().Evacuations["x"])
	require.Equal(t, []string{"y"}, h.read(watched(1, 10, withdraw("x", 10)), now))
	require.Len(t, h.state.view().ByService["s"], 2)
	require.Empty(t, h.read(full(1, 11, inDomain("a", "x")), now), "a full read without the key ends it at once")
}

// TestLateAnswersDoNotRevertEvacuations guards against an answer that was delayed, as on
// a link of a slow reader, undoing what the host has learnt since.
func TestLateAnswersDoNotRevertEvacuations(t *testing.T) {
	h, now := newEvacuationHost(), time.Now()
	h.read(full(1, 5), now)
	require.Equal(t, []string{"x"}, h.read(watched(1, 8, evacuate("x", 8)), now))
	require.Equal(t, []string{"x"}, h.read(full(1, 7), now))
	require.Empty(t, h.read(watched(1, 9, withdraw("x", 9)), now))
	require.Empty(t, h.read(watched(1, 9, evacuate("x", 8)), now))
	require.Empty(t, h.read(full(1, 8, evacuate("x", 8)), now))
	require.Equal(t, []string{"x"}, h.read(full(1, 12, evacuate("x", 12)), now))
	bad := evacuate("", 13)
	bad.Err = errors.New("no domain")
	require.Equal(t, []string{"x"}, h.read(watched(1, 13, bad), now))
}

// TestRestoreNeitherEndsNorRevivesEvacuationsAtOnce restores a copy that lacks one
// evacuation and has another that was withdrawn.
func TestRestoreNeitherEndsNorRevivesEvacuationsAtOnce(t *testing.T) {
	h, now := newEvacuationHost(), time.Now()
	h.read(full(1, 5, evacuate("old", 5)), now)
	h.read(watched(1, 7, withdraw("old", 6), evacuate("new", 7)), now)
	require.Equal(t, []string{"new"}, h.read(full(2, 5, evacuate("old", 5)), now))
	within := now.Add(copyDoubt - time.Millisecond)
	require.Equal(t, []string{"new"}, h.read(full(2, 5, evacuate("old", 5)), within), "a second full read says no more")
	require.Equal(t, []string{"new"}, h.read(watched(2, 5), within))
	require.Equal(t, []string{"old"}, h.read(watched(2, 5), now.Add(copyDoubt)))
}

// TestWritesAfterRestoreTakeEffectAtOnce writes and withdraws after the restore, before
// and after the first read of the copy.
func TestWritesAfterRestoreTakeEffectAtOnce(t *testing.T) {
	h, now := newEvacuationHost(), time.Now()
	h.read(full(1, 5, evacuate("a", 4), evacuate("b", 5)), now)
	h.read(watched(1, 8, withdraw("a", 6), withdraw("b", 7), evacuate("c", 8)), now)
	require.Equal(t, []string{"b", "c"}, h.read(full(2, 6, evacuate("a", 4), evacuate("b", 6)), now), "b was written again after the restore")
	require.Equal(t, []string{"b"}, h.read(watched(2, 7, withdraw("c", 7)), now))
	require.Equal(t, []string{"a", "b"}, h.read(watched(2, 8, evacuate("a", 8)), now))
	require.Empty(t, h.read(watched(2, 10, withdraw("a", 9), withdraw("b", 10)), now))
	require.Empty(t, h.read(watched(2, 10), now.Add(copyDoubt)))
}

// TestStartingHostLearnsDisputesFromItsReader starts a host during the time of doubt. It
// must agree with its reader, and with the store once the time has passed, even if the
// reader is lost before.
func TestStartingHostLearnsDisputesFromItsReader(t *testing.T) {
	reader, now := newEvacuationHost(), time.Now()
	reader.read(full(1, 5, evacuate("old", 5)), now)
	reader.read(watched(1, 9, withdraw("old", 6), evacuate("new", 9)), now)
	reader.read(full(2, 5, evacuate("old", 5)), now)
	started, running := newEvacuationHost(), newEvacuationHost()
	running.read(full(1, 9, evacuate("new", 9)), now)
	for _, h := range []*evacuationHost{started, running} {
		require.Equal(t, []string{"new"}, h.read(reader.last, now))
		require.Equal(t, []string{"new"}, h.read(full(2, 5, evacuate("old", 5)), now), "the store's own answer says no more")
		require.Equal(t, []string{"old"}, h.read(watched(2, 5), now.Add(copyDoubt)))
	}
	again := newEvacuationHost()
	again.read(reader.last, now)
	require.Empty(t, again.read(watched(2, 6, withdraw("new", 6)), now))
	require.Equal(t, []string{"old"}, again.read(watched(2, 6), now.Add(copyDoubt)))
}

// TestRestoredStoreWithoutDisputesChangesNothing guards against a restore that costs
// hosts without evacuations a change of the batch.
func TestRestoredStoreWithoutDisputesChangesNothing(t *testing.T) {
	h, now := newEvacuationHost(), time.Now()
	h.read(full(1, 5, target("a")), now)
	h.read(full(2, 4, target("a")), now)
	require.Empty(t, h.last.Disputed)
	require.Zero(t, h.last.DisputedFor)
	require.Len(t, h.last.Changes, 1)
}
