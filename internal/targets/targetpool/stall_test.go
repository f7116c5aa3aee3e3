package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// stallDirectory returns a directory with a target of the shard s-2 of an index and one of
// a service.
func stallDirectory() *Directory {
	routes := []*catalog.Route{{Name: "sweep", Shards: []catalog.ServiceName{"s-1", "s-2"}}, {Name: "other", Shards: []catalog.ServiceName{"s-2"}}}
	d := NewDirectory(Options{Codec: echo.Codec{}, Dialer: echoDialer{ended: make(chan time.Time, 8)}, Log: discardLogger(), Host: "h"})
	d.Update(catalog.NewView(catalog.NewConfig(1, routes, nil, catalog.Limits{}), catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
		"a": {ID: "a", Service: "s-2", Addr: "a", Born: 1}, "b": {ID: "b", Service: "single", Addr: "b"},
	}))
	return d
}

// pauseOnce makes the pool observe an exchange that a pause delayed and a prompt one, and
// returns the end of the pause.
func pauseOnce(p *Pool, at time.Time) time.Time {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, took := range []time.Duration{100 * time.Millisecond, echoTime} {
		p.stats.Sent(at)
		p.recordExchange(at.Add(took), replica.Exchange{Sent: at, Expected: echoTime, Result: replica.Served})
		at = at.Add(took)
	}
	return at.Add(-2 * echoTime)
}

// TestEndsOfShardsPausesAreReportedInFleetWithGatherers guards against messages about
// pauses in fleets that need none, and about targets that gatherers don't use.
func TestEndsOfShardsPausesAreReportedInFleetWithGatherers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := stallDirectory()
		now := time.Now()
		pauseOnce(d.pools["a"], now)
		require.Empty(t, d.TakeStallEnds(now), "each host learns by itself")
		d.SetFleet(Fleet{Hosts: 40, Gatherers: 5, Gathers: true})
		now = now.Add(5 * time.Second)
		ended := pauseOnce(d.pools["a"], now)
		pauseOnce(d.pools["b"], now)
		require.Equal(t, []stall.SharedEnd{stall.Share("a", stall.End{At: ended, Length: 100*time.Millisecond - echoTime}, now.Add(time.Second))}, d.TakeStallEnds(now.Add(time.Second)))
		require.Empty(t, d.TakeStallEnds(now.Add(time.Second)))
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	})
}

// TestTableIsPassedOnAndEndsWithTheTargetsStart guards against a target that is avoided by
// the phase of its earlier start or after the clock has stopped.
func TestTableIsPassedOnAndEndsWithTheTargetsStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := stallDirectory()
		adopt := func() {
			d.AddStallTable([]stall.SharedPattern{{Target: "a", PeriodUS: 3e6, LengthMS: 100}, {Target: "b", PeriodUS: 2e6, LengthMS: 100}}, time.Now())
			d.LearnStalls(time.Now())
			require.True(t, d.pools["a"].Load(time.Now()).ForeseenStall.Pausing())
		}
		adopt()
		require.Equal(t, []stall.SharedPattern{{Target: "a", PeriodUS: 3e6, LengthMS: 100}}, d.StallTable(time.Now()), "shards only")
		d.ForgetStalls()
		d.LearnStalls(time.Now())
		require.Zero(t, d.pools["a"].Load(time.Now()).ForeseenStall)
		adopt()
		d.Update(catalog.NewView(d.view.Config, catalog.Position{Revision: 2}, map[catalog.TargetID]*catalog.Target{"a": {ID: "a", Service: "s-2", Addr: "a", Born: 2}}))
		d.LearnStalls(time.Now())
		require.Zero(t, d.pools["a"].Load(time.Now()).ForeseenStall)
		require.Empty(t, d.StallTable(time.Now()))
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 3}, nil))
	})
}

// TestPredictedPauseGivesNoBadSample guards against a target that other hosts avoid for
// seconds because of a pause that each of them predicts.
func TestPredictedPauseGivesNoBadSample(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := stallDirectory()
		p := d.pools["a"]
		pauseOnce(p, time.Now())
		require.Equal(t, 1, p.takeSample().Bad)
		d.AddStallTable([]stall.SharedPattern{{Target: "a", PeriodUS: 3e6, LengthMS: 100}}, time.Now())
		d.LearnStalls(time.Now())
		pauseOnce(p, time.Now().Add(3*time.Second))
		sample := p.takeSample()
		require.Equal(t, 2, sample.Good)
		require.Zero(t, sample.Bad)
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	})
}
