package relay

import (
	"bufio"
	"fmt"
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

// leavingCodec is the codec of targets whose every answer says that they are leaving.
type leavingCodec struct{ echo.Codec }

func (c leavingCodec) ReadReply(in *bufio.Reader, bodyless bool) (*exchange.Reply, error) {
	reply, err := c.Codec.ReadReply(in, bodyless)
	if err == nil {
		reply.Leaving = true
	}
	return reply, err
}

type instantDialer struct{}

func (instantDialer) Dial(string, time.Duration) (net.Conn, error) {
	return echo.Connect(time.Millisecond, nil), nil
}

// TestLastReplicaThatLeavesIsUsedWithinItsTime sends requests to a service whose only
// target is leaving: they are served until shortly before the end of its time and
// refused afterwards.
func TestLastReplicaThatLeavesIsUsedWithinItsTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const drain = 3 * time.Second
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: time.Second, Objective: 100 * time.Millisecond, Idempotent: true,
			MaxAttempts: 2, Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}
		config := catalog.NewConfig(1, []*catalog.Route{route}, map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 8}}, catalog.Limits{})
		directory := targetpool.NewDirectory(targetpool.Options{
			Codec: leavingCodec{}, Dialer: instantDialer{}, Log: discardLogger(), Host: "host", DrainWithin: drain,
			Extra: extrabudget.Limit{Window: 10 * time.Second},
		})
		view := catalog.NewView(config, catalog.Position{Revision: 1}, map[catalog.TargetID]*catalog.Target{"a": {ID: "a", Service: "s", Addr: "a"}})
		directory.Update(view)
		executor := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New()})
		began := time.Now()
		lastServed := time.Duration(0)
		for i := range 100 {
			now := time.Now()
			answer := executor.Serve(&exchange.Request{ID: fmt.Sprint(i), Method: "GET", Host: "h", URI: "/", Arrived: now, CallerTimeout: time.Second}, nil)
			if answer.Status == 200 {
				lastServed = time.Since(began)
			} else {
				require.Equal(t, 503, answer.Status)
			}
			time.Sleep(50 * time.Millisecond)
		}
		require.Greater(t, lastServed, drain/2)
		require.Less(t, lastServed, drain)

		// The mark goes with the start of the target, whatever its entry does.
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		directory.Update(view)
		answer := executor.Serve(&exchange.Request{ID: "again", Method: "GET", Host: "h", URI: "/", Arrived: time.Now(), CallerTimeout: time.Second}, nil)
		require.Equal(t, 503, answer.Status)
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 3}, nil))
		time.Sleep(time.Minute)
	})
}
