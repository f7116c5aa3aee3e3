package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const (
	usualTime = 20 * time.Millisecond
	workTime  = 10 * time.Millisecond
)

var start = time.Unix(1000, 0)

// reporting returns the statistics of a target that has reported a load at start.
func reporting(load exchange.Load) *Stats {
	s := &Stats{Slots: load.Slots}
	s.Reported(start, load, Exchange{Expected: usualTime, Work: workTime})
	return s
}

// TestReportedQueueRaisesCostWithoutOwnRequests guards against choosing a target that is
// full of other hosts' requests, of which this host sees none.
func TestReportedQueueRaisesCostWithoutOwnRequests(t *testing.T) {
	full := Candidate{Load: reporting(exchange.Load{Running: 4, Waiting: 7, Slots: 4, Work: 1}).Load(start)}
	free := Candidate{Load: reporting(exchange.Load{Running: 1, Slots: 4, Work: 1}).Load(start)}
	full.Load.Room, free.Load.Room = 1, 1
	require.InDelta(t, 1, Cost(free, usualTime), 1e-9, "slots are free")
	require.InDelta(t, 1+reportedWaitCost*0.5*2, Cost(full, usualTime), 1e-9, "two rounds of work that takes half of the usual time")
}

// TestReportedWorkTimeScalesWaitAndWork guards against ignoring a machine that is slow
// although no request waits at it.
func TestReportedWorkTimeScalesWaitAndWork(t *testing.T) {
	slow := Candidate{Load: reporting(exchange.Load{Slots: 4, Work: 2.5}).Load(start)}
	slow.Load.Room = 1
	require.InDelta(t, 2.5, Cost(slow, usualTime), 1e-9)
	slow.Load = reporting(exchange.Load{Running: 4, Waiting: 3, Slots: 4, Work: 2.5}).Load(start)
	slow.Load.Room = 1
	require.InDelta(t, 2.5+reportedWaitCost*0.5*2.5, Cost(slow, usualTime), 1e-9)
}

// TestReportDecaysByHalfIn25msAndEndsAfter150ms guards against deciding by a queue that
// has long been worked off.
func TestReportDecaysByHalfIn25msAndEndsAfter150ms(t *testing.T) {
	s := reporting(exchange.Load{Running: 4, Waiting: 4, Slots: 4, Work: 1})
	require.InDelta(t, 1, s.Load(start).Reported.Weight, 1e-9)
	require.InDelta(t, 0.5, s.Load(start.Add(25*time.Millisecond)).Reported.Weight, 1e-9)
	require.InDelta(t, 0.25, s.Load(start.Add(50*time.Millisecond)).Reported.Weight, 1e-9)
	require.Equal(t, Reported{}, s.Load(start.Add(150*time.Millisecond)).Reported)
}

// TestFreshReportReplacesRequestsInFlight guards against avoiding a target for this host's
// own requests that its many slots serve at once.
func TestFreshReportReplacesRequestsInFlight(t *testing.T) {
	s := &Stats{Slots: 16}
	for range 4 {
		s.Sent(start)
	}
	unreported := Candidate{Load: s.Load(start)}
	s.Reported(start, exchange.Load{Running: 4, Slots: 16, Work: 1}, Exchange{Expected: usualTime, Work: workTime})
	reported := Candidate{Load: s.Load(start)}
	unreported.Load.Room, reported.Load.Room = 1, 1
	require.InDelta(t, 1+4*outstandingCost, Cost(unreported, usualTime), 1e-9)
	require.InDelta(t, 1, Cost(reported, usualTime), 1e-9)
}

// TestRequestsSentAfterReportCountAsWaiting guards against sending a burst to one target
// because its last report precedes the burst.
func TestRequestsSentAfterReportCountAsWaiting(t *testing.T) {
	s := reporting(exchange.Load{Running: 2, Slots: 2, Work: 1})
	before := s.Load(start).Reported.Wait
	s.Sent(start)
	s.Sent(start)
	require.InDelta(t, before+0.5, s.Load(start).Reported.Wait, 1e-9)
}

// TestTargetWithoutReportIsRatedAsBefore guards against another choice on deployments
// whose targets report no load.
func TestTargetWithoutReportIsRatedAsBefore(t *testing.T) {
	for _, room := range []int{-2, 0, 1} {
		l := Load{Slowness: 1.7, Outstanding: 2, Waiting: 1, Limit: 2, Slots: 4, Room: room}
		require.InDelta(t, 1.7*(1+outstandingCost*3)+fullCost*max(0, float64(1-room))*boolFloat(room <= 0), Cost(Candidate{Load: l}, usualTime), 1e-9)
		require.Equal(t, estimateObserved(l, usualTime), Estimate(l, usualTime))
	}
}

func boolFloat(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// TestReportedQueueRefusesOnlyWhileFresh guards against sending what can't be answered in
// time, and against never noticing that the queue has gone.
func TestReportedQueueRefusesOnlyWhileFresh(t *testing.T) {
	s := reporting(exchange.Load{Running: 4, Waiting: 77, Slots: 4, Work: 1})
	load := func(after time.Duration) Load {
		l := s.Load(start.Add(after))
		l.Room = 1
		return l
	}
	within := 5 * usualTime
	require.True(t, QueueExceeds(load(0), usualTime, within))
	require.False(t, QueueExceeds(load(0), usualTime, 11*usualTime))
	require.False(t, QueueExceeds(load(26*time.Millisecond), usualTime, within))
}

// TestReportedShortQueueKeepsRequestsFromBeingRefused guards against refusing requests by the
// host's own queue though the target has room.
func TestReportedShortQueueKeepsRequestsFromBeingRefused(t *testing.T) {
	load := func(waiting int) Load {
		l := reporting(exchange.Load{Running: 4, Waiting: waiting, Slots: 4, Work: 1}).Load(start)
		l.Limit, l.Room, l.DrainInterval = 4, -8, usualTime
		return l
	}
	within := 10 * usualTime
	require.Greater(t, Estimate(load(0), usualTime), within)
	require.False(t, QueueExceeds(load(0), usualTime, within))
	require.True(t, QueueExceeds(load(77), usualTime, within))
	old := load(0)
	old.Reported.Weight = 0
	require.True(t, QueueExceeds(old, usualTime, within))
}

// TestReportedWaitStaysBelowCostOfLeaving guards against preferring a leaving target to one
// that reports an absurd queue.
func TestReportedWaitStaysBelowCostOfLeaving(t *testing.T) {
	busy := Candidate{Load: reporting(exchange.Load{Waiting: 1_000_000, Slots: 1, Work: 1000}).Load(start)}
	busy.Load.Room = 1
	leaving := Candidate{Load: Load{Slowness: 1, Room: 1, Leaving: true}}
	require.Less(t, Cost(busy, usualTime), Cost(leaving, usualTime))
}
