package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestReadyReplyIsDelivered guards against a reply that is dropped because the request is
// withdrawn, or its time is over, when the run comes to it.
func TestReadyReplyIsDelivered(t *testing.T) {
	gone := make(chan struct{})
	close(gone)
	for name, tc := range map[string]struct {
		age        time.Duration
		callerGone chan struct{}
	}{"withdrawn": {callerGone: gone}, "timed out": {age: time.Hour}} {
		t.Run(name, func(t *testing.T) {
			for range 100 {
				require.Equal(t, 200, singleWithReply(tc.age, tc.callerGone).wait().Status)
				require.Equal(t, 200, sweepWithReply(tc.callerGone).wait().Status)
			}
		})
	}
}

// readyEvent is the reply to the first attempt of a run.
func readyEvent() event {
	now := time.Now()
	reply := &exchange.Reply{Status: 200, Signature: "s"}
	return event{outcome: targetpool.Outcome{Sent: now, Ended: now, Verdict: verdict.Ran, Reply: reply}}
}

// singleWithReply returns a request that arrived age ago and whose reply has arrived.
func singleWithReply(age time.Duration, callerGone <-chan struct{}) *single {
	now := time.Now()
	route := &catalog.Route{Name: "order", Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1}
	r := NewExecutor(Options{}).newRun(&targetpool.Snapshot{}, route, &exchange.Request{Arrived: now.Add(-age)}, callerGone)
	r.events = make(chan event, 1)
	r.events <- readyEvent()
	return &single{run: r, leg: leg{attempts: []attempt{{begun: now}}, pending: 1}}
}

// sweepWithReply returns a sweep of one shard whose reply has arrived.
func sweepWithReply(callerGone <-chan struct{}) *sweep {
	now := time.Now()
	route := &catalog.Route{Name: "sweep", Timeout: time.Minute, Objective: time.Second, MaxAttempts: 1, Idempotent: true}
	r := NewExecutor(Options{}).newRun(&targetpool.Snapshot{}, route, &exchange.Request{Arrived: now}, callerGone)
	r.events = make(chan event, 1)
	r.events <- readyEvent()
	return &sweep{run: r, minShards: 1, legs: []leg{{attempts: []attempt{{begun: now}}, pending: 1}}}
}
