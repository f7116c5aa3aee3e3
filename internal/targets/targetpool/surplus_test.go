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

// work is how long an echo takes.
const work = time.Millisecond

// echoDialer connects to targets that send each line back. ended gets a value
// for each connection that its caller closed.
type echoDialer struct{ ended chan time.Time }

func (d echoDialer) Dial(string, time.Duration) (net.Conn, error) {
	return echo.Connect(work, func() { d.ended <- time.Now() }), nil
}

func quiet() *logrus.Logger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func echoPool(d echoDialer, limit, warm int) *Pool {
	log := quiet()
	target := &catalog.Target{ID: "t-1", Service: "s", Addr: "t-1"}
	p := NewPool(target, &Options{Codec: echo.Codec{}, Dialer: d, Log: log})
	p.Resize(limit, warm)
	return p
}

func ask(t *testing.T, p *Pool, id string) {
	t.Helper()
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(time.Second)
	p.Submit(&Call{
		Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: work,
		Done: func(o Outcome) { done <- o },
	})
	require.NoError(t, (<-done).Err)
}

// TestAnUnusedConnectionToASpareTargetIsClosed: a host that asked a spare
// target once must not count there for good, or each host ends up connected to
// each target and they take no more connections.
func TestAnUnusedConnectionToASpareTargetIsClosed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 1, 0)
		ask(t, p, "r-1")
		used := time.Now()
		require.WithinDuration(t, used.Add(surplusFor), <-d.ended, time.Second)
		ask(t, p, "r-2")
		p.Close()
	})
}

// TestTheWarmConnectionStaysOpen is the other side.
func TestTheWarmConnectionStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 2, 1)
		ask(t, p, "r-1")
		time.Sleep(10 * surplusFor)
		require.Empty(t, d.ended)
		p.Close()
	})
}

// TestASpareConnectionInUseStaysOpen: closing follows the last use.
func TestASpareConnectionInUseStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 1, 0)
		for range 10 {
			ask(t, p, "r")
			time.Sleep(surplusFor * 3 / 4)
		}
		require.Empty(t, d.ended)
		p.Close()
	})
}
