package relay

import (
	"net"
	"os"
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

// hangingDialer connects to targets until it hangs: then connections receive nothing and new
// ones time out.
type hangingDialer struct {
	hangs atomic.Bool
	// delay is how much later what is received arrives, in nanoseconds.
	delay atomic.Int64
}

func (d *hangingDialer) Dial(_ string, timeout time.Duration) (net.Conn, error) {
	if d.hangs.Load() {
		time.Sleep(timeout)
		return nil, os.ErrDeadlineExceeded
	}
	return &hangingConn{Conn: echo.Connect(time.Millisecond, nil), dialer: d}, nil
}

type hangingConn struct {
	net.Conn
	dialer *hangingDialer
}

func (c *hangingConn) Write(p []byte) (int, error) {
	if c.dialer.hangs.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *hangingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	time.Sleep(time.Duration(c.dialer.delay.Load()))
	return n, err
}

// fakeHelpers answers requests that are handed over, unless it takes none.
type fakeHelpers struct {
	takes bool
	got   []exchange.Handover
}

func (h *fakeHelpers) Ready(float64, <-chan struct{}) bool { return h.takes }

func (h *fakeHelpers) HandOver(_ *exchange.Request, _ *catalog.Route, o exchange.Handover, _ <-chan struct{}) *exchange.Answer {
	h.got = append(h.got, o)
	if !h.takes {
		return nil
	}
	return &exchange.Answer{Status: 200}
}

// handoverTest runs a test with a host of six services with a target each.
func handoverTest(t *testing.T, test func(serve func(method string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, d *targetpool.Directory)) {
	synctest.Test(t, func(t *testing.T) {
		targets := map[catalog.TargetID]*catalog.Target{}
		services := map[catalog.ServiceName]catalog.Service{}
		var names []catalog.ServiceName
		for _, name := range []string{"a", "b", "c", "d", "e", "f"} {
			names = append(names, catalog.ServiceName(name))
			services[names[len(names)-1]] = catalog.Service{Name: names[len(names)-1], MaxConns: 8}
			targets[catalog.TargetID(name)] = &catalog.Target{ID: catalog.TargetID(name), Service: catalog.ServiceName(name), Addr: name}
		}
		limits := catalog.Route{Host: "h", Timeout: 2 * time.Second, Objective: 100 * time.Millisecond, MaxAttempts: 2}
		sweep, order := limits, limits
		sweep.Name, sweep.Prefix, sweep.Shards, sweep.Idempotent, sweep.LeastCoverage, sweep.TopK = "sweep", "/GET/", names, true, 1, 1
		order.Name, order.Prefix, order.Split = "order", "/POST/", []catalog.WeightedService{{Service: "a", Weight: 1}}
		once := limits
		once.Name, once.Prefix, once.Idempotent, once.MaxAttempts = "once", "/HEAD/", true, 1
		once.Split = []catalog.WeightedService{{Service: "g", Weight: 1}}
		services["g"] = catalog.Service{Name: "g", MaxConns: 8}
		for _, id := range []string{"g-1", "g-2"} {
			targets[catalog.TargetID(id)] = &catalog.Target{ID: catalog.TargetID(id), Service: "g", Addr: id}
		}
		config := catalog.NewConfig(1, []*catalog.Route{&sweep, &order, &once}, services, catalog.Limits{})
		dialer, helpers := &hangingDialer{}, &fakeHelpers{takes: true}
		d := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "host", Extra: extrabudget.Limit{Ratio: 0.2, Slack: 5, Window: 10 * time.Second},
		})
		d.SetFleet(targetpool.Fleet{Hosts: 1})
		d.Update(catalog.NewView(config, catalog.Position{Revision: 1}, targets))
		executor := NewExecutor(Options{Snapshots: d, Guard: crashguard.New(), Helpers: helpers, Links: d.Links(), CheckSilence: d.CheckSilence})
		serve := func(method string) *exchange.Answer {
			d.CheckLinks(time.Now())
			r := &exchange.Request{ID: method, Method: method, Host: "h", URI: "/" + method + "/", Arrived: time.Now(), CallerTimeout: 2 * time.Second}
			return executor.Serve(r, nil)
		}
		for range 10 {
			require.Equal(t, 200, serve("GET").Status)
			require.Equal(t, 200, serve("POST").Status)
			time.Sleep(100 * time.Millisecond)
		}
		require.Empty(t, helpers.got)
		test(serve, dialer, helpers, d)
		d.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(time.Minute)
	})
}

// TestRequestInFlightIsHandedOverWhenLinksAreLost guards against callers that wait for replies
// which can't come, and against a host that tries its targets with each further request.
func TestRequestInFlightIsHandedOverWhenLinksAreLost(t *testing.T) {
	handoverTest(t, func(serve func(string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, d *targetpool.Directory) {
		dialer.hangs.Store(true)
		began := time.Now()
		require.Equal(t, 200, serve("GET").Status)
		require.Less(t, time.Since(began), 300*time.Millisecond)
		require.Len(t, helpers.got, 1)
		require.True(t, helpers.got[0].MayHaveRun)
		again := 0
		for ; again < 100 && helpers.got[0].Again(); again++ {
		}
		require.Positive(t, again, "the bound on extra load allows some")
		require.Less(t, again, 10)
		require.True(t, d.Links().State().Cut)
		for _, method := range []string{"GET", "POST"} {
			began = time.Now()
			require.Equal(t, 200, serve(method).Status)
			require.Zero(t, time.Since(began))
			require.False(t, helpers.got[len(helpers.got)-1].MayHaveRun)
		}
		dialer.hangs.Store(false)
		for range 30 {
			time.Sleep(100 * time.Millisecond)
			d.CheckLinks(time.Now())
		}
		require.False(t, d.Links().State().Cut)
		handed := len(helpers.got)
		require.Equal(t, 200, serve("GET").Status)
		require.Len(t, helpers.got, handed, "it serves again itself")
	})
}

// TestUnsafeRequestThatWasSentBeforeTheCutIsNotHandedOver guards against a second run.
func TestUnsafeRequestThatWasSentBeforeTheCutIsNotHandedOver(t *testing.T) {
	handoverTest(t, func(serve func(string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, _ *targetpool.Directory) {
		dialer.hangs.Store(true)
		answered := make(chan *exchange.Answer)
		go func() { answered <- serve("POST") }()
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 200, serve("GET").Status)
		answer := <-answered
		require.Equal(t, 504, answer.Status)
		for _, o := range helpers.got {
			require.True(t, o.MayHaveRun, "the sweep, which may run again")
		}
	})
}

// TestRequestWhoseAttemptsAreUsedUpIsNotHandedOver guards against a request that runs on more
// targets than its route allows, since the other host counts its own attempts.
func TestRequestWhoseAttemptsAreUsedUpIsNotHandedOver(t *testing.T) {
	handoverTest(t, func(serve func(string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, _ *targetpool.Directory) {
		require.Equal(t, 200, serve("HEAD").Status)
		dialer.hangs.Store(true)
		answered := make(chan *exchange.Answer)
		go func() { answered <- serve("HEAD") }()
		time.Sleep(10 * time.Millisecond)
		require.Equal(t, 200, serve("GET").Status)
		handed := len(helpers.got)
		require.Equal(t, 504, (<-answered).Status)
		require.Len(t, helpers.got, handed)
	})
}

// TestRequestInFlightIsKeptIfNoOtherHostTakesIt guards against failures of requests whose replies
// are only late, on a host that takes that for lost links.
func TestRequestInFlightIsKeptIfNoOtherHostTakesIt(t *testing.T) {
	handoverTest(t, func(serve func(string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, d *targetpool.Directory) {
		helpers.takes = false
		dialer.delay.Store(int64(400 * time.Millisecond))
		require.Equal(t, 200, serve("GET").Status)
		require.Empty(t, helpers.got)
	})
}

// TestRequestIsTriedHereIfNoOtherHostTakesIt guards against failures after false signs of lost
// links.
func TestRequestIsTriedHereIfNoOtherHostTakesIt(t *testing.T) {
	handoverTest(t, func(serve func(string) *exchange.Answer, dialer *hangingDialer, helpers *fakeHelpers, d *targetpool.Directory) {
		helpers.takes = false
		dialer.hangs.Store(true)
		require.GreaterOrEqual(t, serve("GET").Status, 500)
		require.True(t, d.Links().State().Cut)
		dialer.hangs.Store(false)
		require.Eventually(t, func() bool { return serve("GET").Status == 200 }, 5*time.Second, 50*time.Millisecond)
	})
}
