package relay

import (
	"bufio"
	"fmt"
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

const (
	quick = 5 * time.Millisecond
	slow  = 400 * time.Millisecond
	// lossEvery is the interval, in requests, at which the quick target loses a reply.
	lossEvery = 4
)

// lossyDialer connects to two targets: a slow one, and a quick one that closes the
// connection instead of sending every lossEvery-th reply.
type lossyDialer struct{ requests atomic.Int32 }

func (d *lossyDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	time.Sleep(time.Millisecond)
	if addr == "slow" {
		return echo.Connect(slow, nil), nil
	}
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil || d.requests.Add(1)%lossEvery == 0 {
				return
			}
			time.Sleep(quick)
			if _, err := far.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// TestLostReplyIsRetriedAtSameTargetIfOthersAreTooSlow covers a target that loses
// some replies while the other replica is too slow for the objective.
func TestLostReplyIsRetriedAtSameTargetIfOthersAreTooSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: 2 * time.Second, Objective: 50 * time.Millisecond, Idempotent: true,
			MaxAttempts: 2, Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}
		config := catalog.NewConfig(1, []*catalog.Route{route}, map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 8}}, catalog.Limits{})
		view := catalog.NewView(config, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{
			"a": {ID: "a", Service: "s", Addr: "lossy"}, "b": {ID: "b", Service: "s", Addr: "slow"},
		})
		directory := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: &lossyDialer{}, Log: discardLogger(), Host: "host",
			Extra: extrabudget.Limit{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		})
		directory.SetFleet(targetpool.Fleet{Hosts: 1})
		directory.Update(view)
		executor := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New()})
		late := 0
		for i := range 120 {
			began := time.Now()
			request := &exchange.Request{ID: fmt.Sprint(i), Method: "GET", Host: "h", URI: "/", Arrived: began, CallerTimeout: 2 * time.Second}
			answer := executor.Serve(request, nil)
			require.Equal(t, 200, answer.Status, answer.Reason)
			if i >= 60 && time.Since(began) > route.Objective {
				late++
			}
			time.Sleep(10 * time.Millisecond)
		}
		// The slow target still gets an occasional request, which detects its recovery.
		require.LessOrEqual(t, late, 3)
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(time.Minute)
	})
}
