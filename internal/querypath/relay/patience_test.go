package relay

import (
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

func TestSpentTimeIsWhatCallerTimeoutLacks(t *testing.T) {
	var p patience
	now := time.Now()
	require.Zero(t, p.spent(600*time.Millisecond, now))
	require.Equal(t, 7*time.Millisecond, p.spent(593*time.Millisecond, now))
	require.Zero(t, p.spent(0, now), "a request without a timeout says nothing")
	require.Zero(t, p.spent(300*time.Millisecond, now), "the rest of a timeout after an earlier attempt isn't the time of a connection")
}

// TestSpentTimeFollowsShorterTimeouts covers callers that all change to a shorter timeout.
func TestSpentTimeFollowsShorterTimeouts(t *testing.T) {
	var p patience
	now := time.Now()
	p.spent(600*time.Millisecond, now)
	for range 3 {
		now = now.Add(patiencePeriod + time.Millisecond)
		p.spent(580*time.Millisecond, now)
	}
	require.Zero(t, p.spent(580*time.Millisecond, now))
}

// halfDialer connects to targets of which the one at "slow" takes longer than any caller
// waits.
type halfDialer struct{}

func (halfDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	if addr == "slow" {
		return echo.Connect(time.Minute, nil), nil
	}
	return echo.Connect(time.Millisecond, nil), nil
}

// TestCallerThatOpenedConnectionGetsPartialAnswerInTime covers a route whose objective is
// short against the time that a caller needs to open a connection.
func TestCallerThatOpenedConnectionGetsPartialAnswerInTime(t *testing.T) {
	const (
		objective = 60 * time.Millisecond
		timeout   = 600 * time.Millisecond
		connect   = 12 * time.Millisecond
		oneWay    = 3 * time.Millisecond
	)
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: timeout, Objective: objective, MaxAttempts: 2,
			Shards: []catalog.ServiceName{"a", "b"}, TopK: 1, LeastCoverage: 0.5,
		}
		services := map[catalog.ServiceName]catalog.Service{"a": {Name: "a", MaxConns: 8}, "b": {Name: "b", MaxConns: 8}}
		config := catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{})
		directory := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: halfDialer{}, Log: discardLogger(), Host: "host",
			Extra: extrabudget.Limit{Window: 10 * time.Second},
		})
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
			"a": {ID: "a", Service: "a", Addr: "fast"}, "b": {ID: "b", Service: "b", Addr: "slow"},
		}))
		executor := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New()})
		for _, spent := range []time.Duration{0, connect} {
			began := time.Now().Add(-spent)
			answer := executor.Serve(&exchange.Request{ID: "q", Method: "GET", Host: "h", URI: "/", Arrived: time.Now(), CallerTimeout: timeout - spent}, nil)
			require.Equal(t, 200, answer.Status)
			require.Equal(t, 1, answer.Missing)
			require.LessOrEqual(t, time.Since(began)+oneWay, objective, "spent %s", spent)
		}
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(2 * time.Minute)
	})
}
