package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestWaitingCallsThatNoCallerNeedsAreDropped guards against calls that take a slot of a
// congested target after the objective although enough shards can answer without them,
// against dropping what the answer needs, and against dropping calls that were sent.
func TestWaitingCallsThatNoCallerNeedsAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		pool := targetpool.NewPool(
			&catalog.Target{ID: "t", Service: "s", Addr: "busy"},
			&targetpool.Options{Codec: echo.Codec{}, Dialer: busyDialer{}, Log: discardLogger()})
		defer time.Sleep(time.Minute)
		defer pool.Close()
		submit := func(work time.Duration) attempt {
			call := &targetpool.Call{
				Request: &exchange.Request{ID: work.String()}, Deadline: time.Now().Add(time.Minute), Done: func(targetpool.Outcome) {},
			}
			pool.Submit(call)
			return attempt{call: call, pool: pool}
		}
		sent := submit(10 * time.Second)
		time.Sleep(time.Second)
		newSweep := func(limited bool, needed int) *sweep {
			s := &sweep{run: &run{limited: limited}, legs: make([]leg, 4), minShards: needed}
			s.legs[0] = leg{attempts: []attempt{sent}, pending: 1}
			for i := 1; i < len(s.legs); i++ {
				s.legs[i] = leg{attempts: []attempt{submit(time.Millisecond)}, pending: 1}
			}
			s.dropWaiting()
			return s
		}
		require.Equal(t, 2, newSweep(true, 2).settled, "two of four may be missing")
		require.Zero(t, newSweep(true, 4).settled, "the answer needs all")
		require.Zero(t, newSweep(false, 2).settled, "the group is not limited")
		all := newSweep(true, 1)
		require.Equal(t, 3, all.settled)
		require.False(t, all.legs[0].settled, "its call was sent")
		require.Equal(t, 1+3+3+0, pool.Load(time.Now()).Waiting, "dropped calls have left the queue")
	})
}
