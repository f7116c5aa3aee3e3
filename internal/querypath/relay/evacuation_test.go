package relay

import (
	"bufio"
	"net"
	"sync/atomic"
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

// evacuatedDialer connects to a target "first", which doesn't answer and, if breaks is
// set, closes the connection after a while, and to others, whose requests it counts.
type evacuatedDialer struct {
	breaks bool
	others atomic.Int32
}

func (d *evacuatedDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			switch {
			case err != nil:
				return
			case addr != "first":
				d.others.Add(1)
				_, _ = far.Write([]byte(line))
			case d.breaks:
				time.Sleep(10 * time.Millisecond)
				return
			}
		}
	}()
	return near, nil
}

func evacuationView(route *catalog.Route, revision int64, evacuated ...string) *catalog.View {
	services := map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 16}}
	config := catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{})
	var all []catalog.Evacuation
	for _, domain := range evacuated {
		all = append(all, catalog.Evacuation{Domain: domain})
	}
	return catalog.NewView(config, catalog.Position{Revision: revision}, map[catalog.TargetID]*catalog.Target{
		"a": {ID: "a", Service: "s", Addr: "first", FailureDomain: "here"}, "b": {ID: "b", Service: "s", Addr: "b", FailureDomain: "there"},
	}, all...)
}

// TestRequestBegunBeforeEvacuationIsNeitherHedgedNorRetriedThere begins a request while
// both replicas may be used, under a snapshot that it keeps. Its hedge or retry would go
// to the replica that is evacuated meanwhile.
func TestRequestBegunBeforeEvacuationIsNeitherHedgedNorRetriedThere(t *testing.T) {
	route := &catalog.Route{
		Name: "r", Prefix: "/", Host: "h", Timeout: 2 * time.Second, Objective: 200 * time.Millisecond, Idempotent: true, MaxAttempts: 2,
		Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
	}
	for _, breaks := range []bool{false, true} {
		for _, evacuated := range []bool{false, true} {
			synctest.Test(t, func(t *testing.T) {
				dialer := &evacuatedDialer{breaks: breaks}
				directory := targetpool.NewDirectory(targetpool.Options{
					Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "host", Extra: extrabudget.Limit{Window: 10 * time.Second, Slack: 100},
				})
				directory.SetFleet(targetpool.Fleet{Hosts: 1})
				directory.Update(evacuationView(route, 1))
				time.Sleep(time.Second)
				executor := NewExecutor(Options{Snapshots: directory, FailureDomain: "here", Guard: crashguard.New()})
				var answer *exchange.Answer
				go func() {
					answer = executor.Serve(&exchange.Request{ID: "r", Method: "GET", Host: "h", URI: "/", Arrived: time.Now(), CallerTimeout: route.Timeout}, nil)
				}()
				synctest.Wait()
				if evacuated {
					directory.Update(evacuationView(route, 2, "there"))
				}
				time.Sleep(route.Timeout)
				synctest.Wait()
				if evacuated {
					require.Zero(t, dialer.others.Load())
					require.GreaterOrEqual(t, answer.Status, 502, "it may have run")
					require.NotEqual(t, 503, answer.Status)
				} else {
					require.EqualValues(t, 1, dialer.others.Load(), "without the evacuation the other replica is used")
					require.Equal(t, 200, answer.Status)
				}
				directory.Update(catalog.NewView(nil, catalog.Position{Revision: 3}, nil))
				time.Sleep(time.Minute)
			})
		}
	}
}

// TestRequestWithOnlyEvacuatedTargetsIsRefusedAtOnce covers single requests and sweeps
// below the least coverage, under the view with the evacuation and under an older one.
func TestRequestWithOnlyEvacuatedTargetsIsRefusedAtOnce(t *testing.T) {
	single := &catalog.Route{Name: "r", Prefix: "/", Host: "h", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Split: []catalog.WeightedService{{Service: "s", Weight: 1}}}
	sweep := &catalog.Route{Name: "r", Prefix: "/", Host: "h", Timeout: time.Second, Objective: time.Second, MaxAttempts: 1, Shards: []catalog.ServiceName{"s"}, LeastCoverage: 1}
	for _, route := range []*catalog.Route{single, sweep} {
		synctest.Test(t, func(t *testing.T) {
			dialer := &evacuatedDialer{}
			directory := targetpool.NewDirectory(targetpool.Options{Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "host", Extra: extrabudget.Limit{Window: time.Second}})
			directory.SetFleet(targetpool.Fleet{Hosts: 1})
			directory.Update(evacuationView(route, 1))
			older := directory.Snapshot()
			directory.Update(evacuationView(route, 2, "here", "there"))
			for _, snapshots := range []Snapshots{directory, fixedSnapshot{older}} {
				executor := NewExecutor(Options{Snapshots: snapshots, Guard: crashguard.New()})
				began := time.Now()
				answer := executor.Serve(&exchange.Request{ID: "r", Method: "GET", Host: "h", URI: "/", Arrived: began, CallerTimeout: time.Second}, nil)
				require.Equal(t, 503, answer.Status)
				require.Equal(t, exchange.Evacuated, answer.Reason)
				require.Equal(t, retryNoRoom, answer.RetryAfter)
				require.Zero(t, time.Since(began))
				require.Equal(t, exchange.CauseEvacuated, answer.Trace.Legs[0].Cause)
			}
			require.Zero(t, dialer.others.Load())
			directory.Update(catalog.NewView(nil, catalog.Position{Revision: 3}, nil))
			time.Sleep(time.Minute)
		})
	}
}

type fixedSnapshot struct{ snapshot *targetpool.Snapshot }

func (f fixedSnapshot) Snapshot() *targetpool.Snapshot { return f.snapshot }
