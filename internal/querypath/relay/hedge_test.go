package relay

import (
	"bufio"
	"net"
	"strings"
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

// busyDialer connects to targets that take as long for a request as its id says. The one at
// "silent" never answers.
type busyDialer struct{}

func (busyDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			if addr == "silent" {
				continue
			}
			work, _ := time.ParseDuration(strings.TrimSpace(line))
			time.Sleep(work)
			if _, err := far.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// TestHedgeIsSentOnceOtherReplicaHasRoom covers a target that falls silent while all
// connections to the other replica are in use: its callers are answered soon after one is
// free, and don't wait until they time out.
func TestHedgeIsSentOnceOtherReplicaHasRoom(t *testing.T) {
	const (
		objective = 200 * time.Millisecond
		timeout   = 2 * time.Second
	)
	for _, c := range []struct{ busy, within time.Duration }{
		{busy: 100 * time.Millisecond, within: objective},
		{busy: 400 * time.Millisecond, within: 500 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			route := &catalog.Route{
				Name: "r", Prefix: "/", Host: "h", Timeout: timeout, Objective: objective, Idempotent: true, MaxAttempts: 2,
				Shards: []catalog.ServiceName{"s", "quick"}, TopK: 1, LeastCoverage: 1,
			}
			services := map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 16}, "quick": {Name: "quick", MaxConns: 16}}
			config := catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{})
			directory := targetpool.NewDirectory(targetpool.Options{
				Codec: echo.Codec{}, Dialer: busyDialer{}, Log: discardLogger(), Host: "host",
				Extra: extrabudget.Limit{Window: 10 * time.Second, Slack: 100},
			})
			directory.SetFleet(targetpool.Fleet{Hosts: 1})
			directory.Update(catalog.NewView(config, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
				"a": {ID: "a", Service: "s", Addr: "silent", FailureDomain: "here"}, "b": {ID: "b", Service: "s", Addr: "busy"},
				"c": {ID: "c", Service: "quick", Addr: "quick"},
			}))
			time.Sleep(10 * time.Second)
			for _, p := range directory.Snapshot().Group("s").Pools {
				if p.Target().ID != "b" {
					continue
				}
				for range 8 {
					p.Submit(&targetpool.Call{
						Request: &exchange.Request{ID: c.busy.String()}, Deadline: time.Now().Add(time.Minute), Done: func(targetpool.Outcome) {},
					})
				}
			}
			executor := NewExecutor(Options{Snapshots: directory, FailureDomain: "here", Guard: crashguard.New()})
			began := time.Now()
			answer := executor.Serve(&exchange.Request{ID: "1ms", Method: "GET", Host: "h", URI: "/", Arrived: began, CallerTimeout: timeout}, nil)
			require.Equal(t, 200, answer.Status, answer.Reason)
			require.Less(t, time.Since(began), c.within)
			directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
			time.Sleep(time.Minute)
		})
	}
}
