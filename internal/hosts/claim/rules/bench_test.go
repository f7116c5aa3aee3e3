package rules

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

func benchLimits() Limits {
	return Limits{Retention: 10 * time.Minute, ClockMargin: 2 * time.Second, ListLease: 10 * time.Minute, MaxEntries: 1 << 24, MaxOutcomeBytes: 1 << 30}
}

// uuidLike returns distinct ids of a UUID's length.
func uuidLike(i int) string { return fmt.Sprintf("01990000-0000-7000-8000-%012d", i) }

func benchClaim(i int) *Claim {
	return &Claim{
		ID: uuidLike(i), IssuedAt: 1_000_000, Fingerprint: 7,
		Attempt: Attempt{Host: "host-1", Incarnation: 1, Seq: uint64(i + 1)}, Revisions: []model.Revision{1},
	}
}

var benchStatus = ListStatus{Revisions: []model.Revision{1}, Complete: true, Confirmed: true}

// BenchmarkWitnessVote measures the vote on a new id.
func BenchmarkWitnessVote(b *testing.B) {
	w := NewWitness(benchLimits(), DisabledRules{}, 0)
	claims := make([]*Claim, b.N)
	for i := range claims {
		claims[i] = benchClaim(i)
	}
	b.ResetTimer()
	for _, c := range claims {
		w.Vote(c, benchStatus, 1_000_000)
	}
}

// BenchmarkWitnessMemory reports the heap bytes that a witness uses per id.
func BenchmarkWitnessMemory(b *testing.B) {
	const ids = 200_000
	for range b.N {
		w := NewWitness(benchLimits(), DisabledRules{}, 0)
		before := heap()
		for i := range ids {
			w.Vote(benchClaim(i), benchStatus, 1_000_000)
		}
		b.ReportMetric(float64(heap()-before)/ids, "B/id")
		runtime.KeepAlive(w)
	}
}

func heap() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// BenchmarkWitnesses measures the selection of the witnesses of an id.
func BenchmarkWitnesses(b *testing.B) {
	for _, hosts := range []int{7, 1400} {
		ids := make([]model.HostID, hosts)
		for i := range ids {
			ids[i] = model.HostID(fmt.Sprintf("host-%d", i))
		}
		set := NewHostSet(ids)
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			for i := range b.N {
				set.Witnesses(uuidLike(i))
			}
		})
	}
}
