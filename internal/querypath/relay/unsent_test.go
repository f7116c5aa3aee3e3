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

// unreachableDialer opens no connection.
type unreachableDialer struct{}

func (unreachableDialer) Dial(_ string, timeout time.Duration) (net.Conn, error) {
	time.Sleep(timeout)
	return nil, net.ErrClosed
}

// TestWithdrawnRequestThatWasNeverSentIsRefused guards against callers of a stopping host that
// can't tell that a request, which waited for a connection, has not run.
func TestWithdrawnRequestThatWasNeverSentIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		route := &catalog.Route{
			Name: "r", Prefix: "/", Host: "h", Timeout: 5 * time.Second, Objective: 500 * time.Millisecond, MaxAttempts: 1,
			Split: []catalog.WeightedService{{Service: "s", Weight: 1}},
		}
		config := catalog.NewConfig(1, []*catalog.Route{route}, map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 8}}, catalog.Limits{})
		directory := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: unreachableDialer{}, Log: discardLogger(), Host: "host", DrainWithin: time.Second,
			Extra: extrabudget.Limit{Window: 10 * time.Second},
		})
		targets := map[catalog.TargetID]*catalog.Target{"a": {ID: "a", Service: "s", Addr: "a"}}
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 1}, targets))
		e := NewExecutor(Options{Snapshots: directory, Guard: crashguard.New()})
		withdrawn := make(chan struct{})
		time.AfterFunc(20*time.Millisecond, func() { close(withdrawn) })
		a := e.Serve(&exchange.Request{ID: "1", Method: "POST", Host: "h", URI: "/x", Arrived: time.Now(), CallerTimeout: 5 * time.Second}, withdrawn)
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(time.Minute) // the pool's goroutines end
		require.Equal(t, 503, a.Status)
	})
}
