package replica

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const usual = 10 * time.Millisecond

func noJitter() float64 { return 0 }

func served(s *Stats, at time.Time, took time.Duration) {
	s.Sent(at)
	s.Ended(at.Add(took), Exchange{Sent: at, Expected: usual, Result: Served})
}

func candidate(s *Stats, now time.Time) Candidate {
	load := s.Load(now)
	load.Limit, load.Room = 2, 2
	return Candidate{Load: load}
}

func TestStalledTargetIsAvoidedAfterOneExchange(t *testing.T) {
	now := time.Now()
	var stalled, healthy Stats
	served(&stalled, now, usual)
	served(&healthy, now, usual)
	stalled.Sent(now.Add(usual))
	later := now.Add(usual + 40*time.Millisecond)
	require.Equal(t, 1, Choose([]Candidate{candidate(&stalled, later), candidate(&healthy, later)}, usual, noJitter))
}

func TestSlownessDecaysWithoutSamples(t *testing.T) {
	now := time.Now()
	var slow Stats
	for range 20 {
		served(&slow, now, 10*usual)
		now = now.Add(10 * usual)
	}
	require.Greater(t, slow.Load(now).Slowness, 6.0)
	require.Less(t, slow.Load(now.Add(30*time.Second)).Slowness, 1.5)
}

func TestSheddingFailingOrSilentTargetIsAvoided(t *testing.T) {
	for _, result := range []Result{Shed, Failed, Silent} {
		now := time.Now()
		var bad, healthy Stats
		served(&healthy, now, usual)
		for range 3 {
			bad.Sent(now)
			bad.Ended(now.Add(usual), Exchange{Sent: now, Expected: usual, Result: result})
		}
		now = now.Add(2 * usual)
		require.Equal(t, 1, Choose([]Candidate{candidate(&bad, now), candidate(&healthy, now)}, usual, noJitter), result)
	}
}

// TestBusyTargetOfOwnDomainIsPreferredToRemoteOne covers ordinary load: a query in flight
// delays the next one by less than the bytes between failure domains cost.
func TestBusyTargetOfOwnDomainIsPreferredToRemoteOne(t *testing.T) {
	now := time.Now()
	var own, remote Stats
	served(&own, now, usual)
	served(&remote, now, usual)
	own.Sent(now.Add(usual))
	own.Sent(now.Add(usual))
	near, far := candidate(&own, now.Add(usual)), candidate(&remote, now.Add(usual))
	far.Remote = true
	require.Equal(t, 0, Choose([]Candidate{near, far}, usual, noJitter))
	near.Load.Room = 0
	require.Equal(t, 1, Choose([]Candidate{near, far}, usual, noJitter), "nor does a call wait for a connection while a remote target has one")
}

func TestRemoteTargetIsPreferredToSlowOne(t *testing.T) {
	near := Candidate{Load: Load{Slowness: 1, Room: 1, Limit: 2}}
	far := near
	far.Remote = true
	require.Equal(t, 1, Choose([]Candidate{far, near}, usual, noJitter))
	near.Load.Slowness = 4
	require.Equal(t, 0, Choose([]Candidate{far, near}, usual, noJitter))
	require.Equal(t, -1, Choose(nil, usual, noJitter))
}

func TestQueueExceedsOnlyWithQueue(t *testing.T) {
	slow := Load{Slowness: 50, Room: 1, Limit: 2}
	require.False(t, QueueExceeds(slow, usual, time.Millisecond), "a slow target with a free connection must get requests, or its recovery goes unnoticed")
	queued := Load{Slowness: 1, Room: -5, Limit: 2}
	require.Equal(t, 4*usual, Estimate(queued, usual))
	require.True(t, QueueExceeds(queued, usual, 3*usual))
	require.False(t, QueueExceeds(queued, usual, 5*usual))
}

// TestSpareTargetIsPreferredToDistrustedOne checks that a spare target costs more
// than one of the host's own share, but less than one that other hosts report as slow.
func TestSpareTargetIsPreferredToDistrustedOne(t *testing.T) {
	own := Candidate{Load: Load{Slowness: 1, Room: 1, Limit: 1}}
	spare := own
	spare.Spare = true
	require.Equal(t, 0, Choose([]Candidate{own, spare}, usual, noJitter))
	own.Load.Distrusted = true
	require.Equal(t, 1, Choose([]Candidate{own, spare}, usual, noJitter))
	spare.Load.Distrusted = true
	require.Equal(t, 0, Choose([]Candidate{own, spare}, usual, noJitter))
}
