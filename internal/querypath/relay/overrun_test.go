package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

func TestAllowanceRisesFastAndFallsSlowly(t *testing.T) {
	var o overrun
	o.observe(true)
	require.Equal(t, overrunRise, o.expected())
	o.observe(false)
	require.Equal(t, overrunRise-overrunFall, o.expected())
	for range 100 {
		o.observe(true)
	}
	require.Equal(t, overrunMost, o.expected())
	for range 10_000 {
		o.observe(false)
	}
	require.Zero(t, o.expected())
}

// TestAllowanceLeavesTargetsTheirPartOfShortObjective covers a host that is late for another
// reason than the way of its answers: with an objective of 40 ms the targets keep most of it.
func TestAllowanceLeavesTargetsTheirPartOfShortObjective(t *testing.T) {
	route := &catalog.Route{Objective: 40 * time.Millisecond, Timeout: time.Second}
	arrived := time.Now()
	o := overrun{allowance: overrunMost}
	left := time.Duration(0)
	o.serve(route, &exchange.Request{Arrived: arrived}, 0, func(r *exchange.Request) *exchange.Answer {
		left = newSchedule(route, r).onTime.Sub(arrived)
		return nil
	})
	require.GreaterOrEqual(t, left, route.Objective/2)
}

// slowWayBack is a gatherer that cuts off each sweep when its share of the objective has
// passed. The answer then needs a while to get back.
type slowWayBack struct{ wayBack time.Duration }

func (g slowWayBack) Sweep(r *exchange.Request, route *catalog.Route, _ func() bool, _ <-chan struct{}) *exchange.Answer {
	time.Sleep(time.Until(newSchedule(route, r).onTime) + g.wayBack)
	return &exchange.Answer{Status: 200, Missing: 1, CutOff: true}
}

// TestCutOffAnswersOfGatherersAreInTime plays callers of a host that passes sweeps on, with
// a way back that is longer than the host allows for at first: all but the first callers and
// one in fifty later ones get their answer within the objective.
func TestCutOffAnswersOfGatherersAreInTime(t *testing.T) {
	const (
		objective = 120 * time.Millisecond
		oneWay    = 3 * time.Millisecond
		wayBack   = 20 * time.Millisecond
		callers   = 500
	)
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: time.Second, Objective: objective, MaxAttempts: 2,
			Shards: []catalog.ServiceName{"a", "b"}, TopK: 1, LeastCoverage: 0.5,
		}
		services := map[catalog.ServiceName]catalog.Service{"a": {Name: "a", MaxConns: 8}, "b": {Name: "b", MaxConns: 8}}
		directory := targetpool.NewDirectory(targetpool.Options{Codec: echo.Codec{}, Dialer: halfDialer{}, Log: discardLogger(), Host: "host"})
		directory.Update(catalog.NewView(catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{}), catalog.Position{Revision: 1}, nil))
		executor := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New(), Gatherers: slowWayBack{wayBack: wayBack}})
		late := 0
		for range callers {
			began := time.Now()
			time.Sleep(oneWay)
			answer := executor.Serve(&exchange.Request{ID: "q", Method: "GET", Host: "h", URI: "/", Arrived: time.Now(), CallerTimeout: time.Second}, nil)
			require.Equal(t, 200, answer.Status)
			time.Sleep(oneWay)
			if time.Since(began) > objective {
				late++
			}
		}
		t.Logf("%d of %d late", late, callers)
		require.LessOrEqual(t, late, callers/50+int((wayBack-passedOverrunFirst)/overrunRise))
	})
}
