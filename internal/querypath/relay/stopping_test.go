package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// snapshotOf provides a configuration without targets.
type snapshotOf struct{ config *catalog.Config }

func (s snapshotOf) Snapshot() *targetpool.Snapshot {
	return &targetpool.Snapshot{View: &catalog.View{Config: s.config}}
}

// TestStoppingHostRefusesRequestsThatCouldOutlastIt guards against requests that are sent to a
// target and cut by the end of the host.
func TestStoppingHostRefusesRequestsThatCouldOutlastIt(t *testing.T) {
	now := time.Now()
	read := &catalog.Route{Name: "read", Idempotent: true, Timeout: 5 * time.Second, Objective: 500 * time.Millisecond}
	order := &catalog.Route{Name: "order", Timeout: 5 * time.Second, Objective: 500 * time.Millisecond}
	e := NewExecutor(Options{})
	outlasts := func(route *catalog.Route, timeout, left time.Duration) bool {
		e.StopBy(now.Add(left))
		return e.outlasts(route, &exchange.Request{Arrived: now, CallerTimeout: timeout}, now)
	}
	require.False(t, e.outlasts(order, &exchange.Request{Arrived: now}, now), "the host is not stopping")
	require.True(t, outlasts(read, 0, 900*time.Millisecond), "it might take longer than twice its objective")
	require.False(t, outlasts(read, 0, 1100*time.Millisecond))
	for range 100 {
		e.statsByRoute.of(read).observe(now, targetpool.Outcome{Sent: now.Add(-time.Second), Ended: now})
		e.statsByRoute.of(order).observe(now, targetpool.Outcome{Sent: now.Add(-time.Second), Ended: now})
	}
	require.False(t, outlasts(read, 0, 3*time.Second), "it fits by the times of its route")
	require.True(t, outlasts(read, 0, 1900*time.Millisecond))
	read.Objective = time.Minute
	require.False(t, outlasts(read, 0, 3*time.Second), "its objective says less than the times of its route")
	require.True(t, outlasts(order, 0, 3*time.Second), "its caller could not send it again")
	require.False(t, outlasts(order, 2*time.Second, 3*time.Second), "its time limit fits")
}

// TestRefusalOfStoppingHostSaysThatRequestDidNotRun guards against callers that can't tell
// whether they may send a request again.
func TestRefusalOfStoppingHostSaysThatRequestDidNotRun(t *testing.T) {
	route := &catalog.Route{Name: "order", Host: "h", Prefix: "/", Timeout: time.Minute, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	config := catalog.NewConfig(1, []*catalog.Route{route}, nil, catalog.Limits{})
	e := NewExecutor(Options{Snapshots: snapshotOf{config}, Guard: crashguard.New()})
	e.StopBy(time.Now().Add(time.Second))
	a := e.Serve(&exchange.Request{ID: "1", Method: "POST", Host: "h", URI: "/x", Arrived: time.Now()}, nil)
	require.Equal(t, 503, a.Status)
	require.Equal(t, exchange.HostStopping, a.Reason)
	require.Positive(t, a.RetryAfter)
}
