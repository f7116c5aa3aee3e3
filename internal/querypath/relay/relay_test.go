package relay

import (
	"bytes"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestGreatestMatchesFullSort compares the merge with a sort of all records.
func TestGreatestMatchesFullSort(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(5))
	part := gen.SliceOf(gen.UInt8Range(0, 3))
	properties.Property("equal", prop.ForAll(func(raw [][]byte, k int) bool {
		var all [][]byte
		for _, p := range raw {
			for ; len(p) >= recordBytes; p = p[recordBytes:] {
				all = append(all, p[:recordBytes])
			}
		}
		slices.SortFunc(all, func(a, b []byte) int { return bytes.Compare(b, a) })
		return bytes.Equal(bytes.Join(all[:min(k, len(all))], nil), greatest(raw, k))
	}, gen.SliceOf(part), gen.IntRange(0, 30)))
	properties.TestingRun(t)
}

func TestSplitSharesHoldForAnySequenceOfRequests(t *testing.T) {
	parts := []catalog.WeightedService{{Service: "a", Weight: 7}, {Service: "b", Weight: 2}, {Service: "c", Weight: 1}}
	deficit := make([]float64, len(parts))
	counts := make([]int, len(parts))
	for n := 1; n <= 1000; n++ {
		counts[nextPart(deficit, parts)]++
		for i, p := range parts {
			require.InDelta(t, p.Weight/10*float64(n), float64(counts[i]), 1.01)
		}
	}
}

func TestHedgeIsSentEarlyEnoughForObjective(t *testing.T) {
	arrived := time.Now()
	route := &catalog.Route{Objective: 100 * time.Millisecond, Timeout: time.Second}
	s := newSchedule(route, &exchange.Request{Arrived: arrived, CallerTimeout: 400 * time.Millisecond})
	require.Equal(t, arrived.Add(400*time.Millisecond), s.deadline)
	require.True(t, s.onTime.Before(arrived.Add(route.Objective)))
	p := expectedTimes{usual: 10 * time.Millisecond, straggler: 30 * time.Millisecond}
	require.Equal(t, arrived.Add(30*time.Millisecond), s.hedgeTime(arrived, p, true))
	p.straggler = 200 * time.Millisecond
	require.Equal(t, s.onTime.Add(-15*time.Millisecond), s.hedgeTime(arrived, p, true))
}

// TestHedgeOverNewConnectionIsSentEarlier covers large fleets, in which each host is
// connected to one replica of each shard and a hedge has to open a connection first.
func TestHedgeOverNewConnectionIsSentEarlier(t *testing.T) {
	arrived := time.Now()
	route := &catalog.Route{Objective: 100 * time.Millisecond, Timeout: time.Second}
	s := newSchedule(route, &exchange.Request{Arrived: arrived, CallerTimeout: 400 * time.Millisecond})
	p := expectedTimes{usual: 10 * time.Millisecond, straggler: 200 * time.Millisecond, connecting: 40 * time.Millisecond}
	require.Equal(t, s.onTime.Add(-p.connecting), s.hedgeTime(arrived, p, false))
	p.straggler = 20 * time.Millisecond
	require.Equal(t, arrived.Add(20*time.Millisecond), s.hedgeTime(arrived, p, false), "a straggler is hedged no earlier than usual")
	p.straggler, p.connecting = 200*time.Millisecond, 95*time.Millisecond
	require.Equal(t, arrived.Add(15*time.Millisecond), s.hedgeTime(arrived, p, false), "the first target gets at least 1.5 times its usual time")
}

// TestShardsAreHedgedOnceHalfAreSettled checks that a host that is slow itself, and
// therefore receives all replies late, does not double its work with hedges.
func TestShardsAreHedgedOnceHalfAreSettled(t *testing.T) {
	now := time.Now()
	r := &run{executor: NewExecutor(Options{}), route: &catalog.Route{Idempotent: true, MaxAttempts: 2}}
	r.expectedTimes = expectedTimes{usual: 8 * time.Millisecond}
	r.times = schedule{onTime: now.Add(time.Second), final: now.Add(time.Second)}
	s := &sweep{run: r, legs: make([]leg, 4)}
	for i := range s.legs {
		s.legs[i] = leg{hedgeAt: now, group: &targetpool.Group{}}
	}
	s.settle(0)
	s.hedge(now)
	for i := range s.legs {
		require.False(t, s.legs[i].hedged)
	}
	require.Equal(t, now.Add(2*time.Millisecond), s.nextWakeup(now))
	s.settle(1)
	s.hedge(now)
	require.Equal(t, now, s.legs[1].hedgeAt)
	for _, l := range s.legs[2:] {
		require.Equal(t, now.Add(8*time.Millisecond), l.hedgeAt, "no target can take the hedge, so it is considered again")
	}
}

// TestFloorPicksAtRandomAndHedgesAtFixedTime pins the baseline against which the
// adaptive policy is compared.
func TestFloorPicksAtRandomAndHedgesAtFixedTime(t *testing.T) {
	slow := replica.Candidate{Load: replica.Load{Slowness: 10, Room: 1, Limit: 1}}
	healthy := replica.Candidate{Load: replica.Load{Slowness: 1, Room: 1, Limit: 1}}
	taken := map[int]int{}
	for range 200 {
		taken[Floor.pick([]replica.Candidate{slow, healthy}, time.Millisecond)]++
		require.Equal(t, 1, Adaptive.pick([]replica.Candidate{slow, healthy}, time.Millisecond))
	}
	require.Greater(t, taken[0], 50)
	require.Equal(t, -1, Floor.pick(nil, time.Millisecond))
	sent := time.Now()
	route := &catalog.Route{Objective: 100 * time.Millisecond}
	require.Equal(t, sent.Add(35*time.Millisecond), Floor.hedgeTime(schedule{}, route, sent, expectedTimes{}, true))
	_, err := ParsePolicy("none")
	require.Error(t, err)
}
