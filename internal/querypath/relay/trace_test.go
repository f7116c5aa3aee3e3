package relay

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestLateSweepNamesShardsThatWereWaitedFor checks that the trace of a late answer lists
// the shards without an answer and the one whose late reply completed the coverage.
func TestLateSweepNamesShardsThatWereWaitedFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		now := time.Now()
		pool := targetpool.NewPool(&catalog.Target{ID: "t", Service: "s"}, &targetpool.Options{Log: discardLogger()})
		call := &targetpool.Call{}
		tried := []attempt{{call: call, pool: pool}}
		legs := []leg{
			{service: "early", reply: &exchange.Reply{}, replied: now.Add(-50 * time.Millisecond), attempts: tried},
			{service: "late", reply: &exchange.Reply{}, replied: now, attempts: tried},
			{service: "silent", pending: 1, attempts: tried},
			{service: "full", queue: 300 * time.Millisecond},
		}
		r := &run{times: schedule{onTime: now.Add(-20 * time.Millisecond)}}
		trace := &exchange.Trace{}
		r.explain(trace, legs, now)
		require.Equal(t, []exchange.Leg{
			{Service: "full", Cause: exchange.CauseQueue, EstimateMS: 300},
			{Service: "silent", Cause: exchange.CauseNoConnection, Target: "t", Tried: 1},
			{Service: "late", Cause: exchange.CauseLateReply, Target: "t", Tried: 1},
		}, trace.Legs)
	})
}
