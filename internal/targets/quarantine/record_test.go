package quarantine

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

const testSeed = 20261203

func noteAt(seq uint64, shard model.ShardID, atMS int64) Note {
	return Note{ID: NoteID{Host: "h", Seq: seq}, Shard: shard, Target: "t", AtMS: atMS}
}

func TestSecondCrashQuarantinesUntilExpiry(t *testing.T) {
	r := &Record{Notes: []Note{noteAt(1, "a", 1000)}}
	state, _ := r.state(2000)
	require.Equal(t, Suspect, state)
	require.True(t, r.suspectOnShard("a", 2000))
	require.False(t, r.suspectOnShard("b", 2000))

	r.add(noteAt(2, "b", 5000))
	state, until := r.state(6000)
	require.Equal(t, Quarantined, state)
	require.Equal(t, 5000+quarantineMS, until)
	state, _ = r.state(until)
	require.Equal(t, Clean, state)
}

func TestCrashesFurtherApartThanSuspicionTimeDoNotQuarantine(t *testing.T) {
	r := &Record{Notes: []Note{noteAt(1, "a", 0), noteAt(2, "a", suspicionMS+1)}}
	state, _ := r.state(suspicionMS + 2)
	require.Equal(t, Suspect, state)
}

func TestSuccessClearsOnlyItsShard(t *testing.T) {
	r := &Record{Notes: []Note{noteAt(1, "a", 1000), noteAt(2, "b", 1000)}}
	r.clear("a", 1500)
	state, _ := r.state(2000)
	require.Equal(t, Suspect, state)
	require.False(t, r.suspectOnShard("a", 2000))
	require.True(t, r.suspectOnShard("b", 2000))
}

func TestReleaseIsNotUndoneByLateNotes(t *testing.T) {
	r := &Record{Notes: []Note{noteAt(1, "a", 1000), noteAt(2, "a", 2000)}, ReleasedMS: 3000}
	r.add(noteAt(3, "a", 2500))
	r.add(noteAt(4, "a", 3000+clockMarginMS))
	state, _ := r.state(4000)
	require.Equal(t, Clean, state)
	r.add(noteAt(5, "a", 3001+clockMarginMS))
	r.add(noteAt(6, "a", 3002+clockMarginMS))
	state, _ = r.state(9000)
	require.Equal(t, Quarantined, state, "crashes after the release count")
}

func TestRecordMergeIsCommutativeAndIdempotent(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(testSeed)
	properties := gopter.NewProperties(parameters)
	properties.Property("merge is commutative and idempotent", prop.ForAll(
		func(a, b []int64, releasedA, releasedB int64) bool {
			x, y := recordOf(a, 1, releasedA), recordOf(b, 100, releasedB)
			xy, yx := *x, *y
			xy.merge(y)
			yx.merge(x)
			again := xy
			return xy.digest() == yx.digest() && !again.merge(y)
		},
		gen.SliceOfN(4, gen.Int64Range(1, 10_000)), gen.SliceOfN(4, gen.Int64Range(1, 10_000)),
		gen.Int64Range(0, 10_000), gen.Int64Range(0, 10_000),
	))
	properties.TestingRun(t)
}

func recordOf(times []int64, firstSeq uint64, released int64) *Record {
	r := &Record{Fingerprint: 7, ReleasedMS: released}
	for i, at := range times {
		r.add(noteAt(firstSeq+uint64(i), "a", at))
		r.clear(model.ShardID(rune('a'+i)), at)
	}
	return r
}

func TestFullTableEvictsOldestButKeepsQuarantined(t *testing.T) {
	table := newTable(2)
	quarantined := &Record{Fingerprint: 1, Notes: []Note{noteAt(1, "a", 10), noteAt(2, "a", 20)}}
	require.True(t, table.merge(quarantined, 100))
	require.True(t, table.merge(&Record{Fingerprint: 2, Notes: []Note{noteAt(3, "a", 30)}}, 100))
	require.True(t, table.merge(&Record{Fingerprint: 3, Notes: []Note{noteAt(4, "a", 40)}}, 100))
	require.Len(t, table.records, 2)
	require.Contains(t, table.records, Fingerprint(1))
	require.Contains(t, table.records, Fingerprint(3))
	table.expire(40 + quarantineMS)
	require.Empty(t, table.records)
}
