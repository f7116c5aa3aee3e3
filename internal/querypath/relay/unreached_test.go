package relay

import (
	"errors"
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// partialDialer connects to every target except the one with the address "full".
type partialDialer struct{}

func (partialDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	if addr == "full" {
		return nil, errors.New("connection reset")
	}
	return echo.Connect(time.Millisecond, nil), nil
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// TestUnreachedRequestIsRetriedWithoutBudget covers the restart of all hosts at once.
// Targets still count the dead connections and accept few new ones, and no host has
// any budget for extra load yet.
func TestUnreachedRequestIsRetriedWithoutBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: time.Second, Objective: 100 * time.Millisecond,
			MaxAttempts: 2, Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}
		config := catalog.NewConfig(1, []*catalog.Route{route}, map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 8}}, catalog.Limits{})
		view := catalog.NewView(config, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
			"a": {ID: "a", Service: "s", Addr: "full"}, "b": {ID: "b", Service: "s", Addr: "open"},
		})
		for i := range 20 {
			directory := targetpool.NewDirectory(targetpool.Options{
				Codec: echo.Codec{}, Dialer: partialDialer{}, Log: discardLogger(), Host: "host",
				Extra: extrabudget.Limit{Window: 10 * time.Second},
			})
			directory.Update(view)
			executor := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New()})
			request := &exchange.Request{ID: "q", Method: "POST", Host: "h", URI: "/", Arrived: time.Now(), CallerTimeout: time.Second}
			answer := executor.Serve(request, nil)
			require.Equal(t, 200, answer.Status, "round %d: %s", i, answer.Reason)
			directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
			time.Sleep(time.Second)
		}
	})
}
