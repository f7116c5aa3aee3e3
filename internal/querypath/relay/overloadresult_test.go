package relay

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestOnlyTimeLostToQueueingCountsAsOverload guards against a limit because of targets
// that are dead, silent or failing.
func TestOnlyTimeLostToQueueingCountsAsOverload(t *testing.T) {
	arrived := time.Now()
	const objective = 100 * time.Millisecond
	onTime, late := arrived.Add(objective/2), arrived.Add(3*objective/2)
	good, failed := &exchange.Answer{Status: 200}, &exchange.Answer{Status: 502, Reason: exchange.LowCoverage}
	refused := &exchange.Answer{Status: 503, Reason: exchange.NoRoom}
	reply := &exchange.Reply{Status: 200}
	answered := leg{reply: reply, replied: onTime, reachable: true}
	waited := leg{reply: reply, replied: late, waited: objective / 2, reachable: true}
	shed := leg{shed: true, reachable: true}
	full := leg{queue: objective, reachable: true}
	unsent := leg{reachable: true}
	dead := leg{}
	for name, c := range map[string]struct {
		answer *exchange.Answer
		legs   []leg
		now    time.Time
		want   overload.Result
	}{
		"in time":                     {good, []leg{answered, dead}, onTime, overload.InTime},
		"late without a queue":        {good, []leg{answered, answered}, late, overload.Excused},
		"late since a call waited":    {good, []leg{answered, waited}, late, overload.Overdue},
		"failed since targets shed":   {failed, []leg{answered, shed, shed}, onTime, overload.Overdue},
		"failed since targets died":   {failed, []leg{answered, dead, dead, shed}, onTime, overload.Excused},
		"refused since queues full":   {refused, []leg{unsent, unsent, unsent, full, full}, onTime, overload.Overdue},
		"refused since targets died":  {refused, []leg{unsent, dead, dead, full}, onTime, overload.Excused},
		"caller left behind a queue":  {&exchange.Answer{Status: 499, Reason: exchange.CallerLeft}, []leg{waited}, late, overload.Excused},
		"late though little to blame": {good, []leg{waited, dead, dead}, late, overload.Excused},
	} {
		r := &run{
			route: &catalog.Route{Objective: objective}, request: &exchange.Request{Arrived: arrived},
			times: schedule{onTime: arrived.Add(objective)},
		}
		require.Equal(t, c.want, r.resultOf(c.answer, c.legs, 1, c.now), name)
	}
}

// TestShedRepliesAreToldFromPausesAndDepartures guards against a limit because targets
// leave or have asked for a pause.
func TestShedRepliesAreToldFromPausesAndDepartures(t *testing.T) {
	for _, c := range []struct {
		reply exchange.Reply
		shed  bool
	}{
		{exchange.Reply{NotRun: true}, true},
		{exchange.Reply{NotRun: true, Pause: time.Second}, false},
		{exchange.Reply{NotRun: true, Leaving: true}, false},
		{exchange.Reply{OtherTarget: true}, false},
		{exchange.Reply{Status: 500}, false},
	} {
		l := &leg{}
		l.recordQueueing(time.Now(), targetpool.Outcome{Reply: &c.reply})
		require.Equal(t, c.shed, l.shed, c.reply)
	}
}

// TestDeadlineOfLimitedGroupIsBoundedUnlessTheRequestMustNotRepeat guards against work
// that occupies slots long after the objective, and against giving up a request that its
// caller can't send again.
func TestDeadlineOfLimitedGroupIsBoundedUnlessTheRequestMustNotRepeat(t *testing.T) {
	arrived := time.Now()
	r := &exchange.Request{Arrived: arrived}
	route := &catalog.Route{Objective: 200 * time.Millisecond, Timeout: time.Second, Idempotent: true}
	require.Equal(t, arrived.Add(300*time.Millisecond), newSchedule(route, r).limited(route, r).deadline)
	once := *route
	once.Idempotent = false
	require.Equal(t, arrived.Add(time.Second), newSchedule(&once, r).limited(&once, r).deadline)
	r.CallerTimeout = 250 * time.Millisecond
	require.Equal(t, arrived.Add(250*time.Millisecond), newSchedule(route, r).limited(route, r).deadline)
}
