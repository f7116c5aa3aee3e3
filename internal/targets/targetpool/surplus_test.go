package targetpool

import (
	"io"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// echoTime is the time that an echo target takes for one request.
const echoTime = time.Millisecond

// echoDialer connects to targets that send each line back. ended receives the time
// at which the pool closed a connection.
type echoDialer struct{ ended chan time.Time }

func (d echoDialer) Dial(string, time.Duration) (net.Conn, error) {
	return echo.Connect(echoTime, func() { d.ended <- time.Now() }), nil
}

func discardLogger() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func echoPool(d echoDialer, limit, warm int) *Pool {
	log := discardLogger()
	target := &catalog.Target{ID: "t-1", Service: "s", Addr: "t-1"}
	p := NewPool(target, &Options{Codec: echo.Codec{}, Dialer: d, Log: log})
	p.Resize(limit, warm)
	return p
}

// submitAndWait submits a request and requires that it succeeds.
func submitAndWait(t *testing.T, p *Pool, id string) {
	t.Helper()
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(time.Second)
	p.Submit(&Call{
		Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
		Done: func(o Outcome) { done <- o },
	})
	require.NoError(t, (<-done).Err)
}

// TestIdleConnectionToSpareTargetIsClosed guards against connections that stay open
// after a single request to a spare target: every host would end up connected to
// every target, and the targets would accept no more connections.
func TestIdleConnectionToSpareTargetIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 1, 0)
		submitAndWait(t, p, "r-1")
		used := time.Now()
		require.WithinDuration(t, used.Add(surplusIdleTimeout), <-d.ended, time.Second)
		submitAndWait(t, p, "r-2")
		p.Close()
	})
}

// TestIdleWarmConnectionStaysOpen checks that trimming keeps warm connections.
func TestIdleWarmConnectionStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 2, 1)
		submitAndWait(t, p, "r-1")
		time.Sleep(10 * surplusIdleTimeout)
		require.Empty(t, d.ended)
		p.Close()
	})
}

// TestSpareConnectionInUseStaysOpen checks that the idle time counts from the last
// use.
func TestSpareConnectionInUseStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 1, 0)
		for range 10 {
			submitAndWait(t, p, "r")
			time.Sleep(surplusIdleTimeout * 3 / 4)
		}
		require.Empty(t, d.ended)
		p.Close()
	})
}
