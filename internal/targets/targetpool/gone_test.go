package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
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
