package targetpool

import (
	"errors"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// TestCallInFlightEndsAfterItsTargetIsGone closes the pool of a target that was slow to
// renew its entry. It guards against giving up the work that it runs.
func TestCallInFlightEndsAfterItsTargetIsGone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := echoDialer{ended: make(chan time.Time, 8)}
		p := echoPool(d, 1, 0)
		done := make(chan Outcome, 1)
		deadline := time.Now().Add(time.Second)
		p.Submit(&Call{
			Request: &exchange.Request{ID: "r"}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
			Done: func(o Outcome) { done <- o },
		})
		time.Sleep(echoTime / 2)
		p.Close()
		o := <-done
		require.NoError(t, o.Err)
		require.Equal(t, "r", o.Reply.ID)
	})
}

// lateDialer fails each dial after a second.
type lateDialer struct{}

func (lateDialer) Dial(string, time.Duration) (net.Conn, error) {
	time.Sleep(time.Second)
	return nil, errors.New("connection refused")
}

// TestDialOfClosedPoolIsNotReportedAsLoss guards against log lines that tell operators of
// the loss of a target which has left.
func TestDialOfClosedPoolIsNotReportedAsLoss(t *testing.T) {
	for _, closed := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			log, hook := test.NewNullLogger()
			p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: echo.Codec{}, Dialer: lateDialer{}, Log: log})
			p.Resize(1, 1)
			if closed {
				p.Close()
			}
			time.Sleep(time.Second)
			synctest.Wait()
			require.Equal(t, closed, len(hook.AllEntries()) == 0)
			p.Close()
			time.Sleep(time.Minute)
		})
	}
}
