package stall

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// replyAfter returns a reply sent at an offset from epoch that took the given time.
func replyAfter(at, took time.Duration) Reply {
	return Reply{Sent: epoch.Add(at), Replied: epoch.Add(at + took), Usual: work}
}

// TestPauseThatDelaysSeveralRepliesCountsOnce guards against one pause that outweighs
// others because many requests met it.
func TestPauseThatDelaysSeveralRepliesCountsOnce(t *testing.T) {
	var d Detector
	ends := 0
	for _, r := range []Reply{
		replyAfter(0, 220*time.Millisecond), replyAfter(50*time.Millisecond, 175*time.Millisecond), replyAfter(100*time.Millisecond, 130*time.Millisecond),
		replyAfter(230*time.Millisecond, work), replyAfter(190*time.Millisecond, 140*time.Millisecond), replyAfter(340*time.Millisecond, work),
	} {
		if end, ok := d.Observe(r); ok {
			ends++
			require.Equal(t, End{At: epoch.Add(200 * time.Millisecond), Length: 200 * time.Millisecond}, end)
		}
	}
	require.Equal(t, 1, ends)
}

// TestSlowOrOverloadedTargetDoesNotPause guards against slowness that is mistaken for
// pauses: such a target does not answer at once afterwards.
func TestSlowOrOverloadedTargetDoesNotPause(t *testing.T) {
	var slow, congested, silent Detector
	for i := range 100 {
		at := time.Duration(i) * 200 * time.Millisecond
		_, ok := slow.Observe(replyAfter(at, 5*work))
		require.False(t, ok)
		r := replyAfter(at, work+time.Duration(i%2)*5*work)
		r.Congested = true
		_, ok = congested.Observe(r)
		require.False(t, ok)
	}
	_, ok := silent.Observe(replyAfter(0, 3*time.Second))
	require.False(t, ok)
	_, ok = silent.Observe(replyAfter(3*time.Second, work))
	require.False(t, ok, "more than MaxLength is a fault")
}

// TestPatternPredictsPausesAndIsJudgedByReplies covers the edges of a pause: before it,
// work that it would interrupt, requests during it, and replies that show it or not.
func TestPatternPredictsPausesAndIsJudgedByReplies(t *testing.T) {
	p := Pattern{Period: 3 * time.Second, End: epoch, Length: 120 * time.Millisecond, Least: 70 * time.Millisecond, Until: epoch.Add(time.Minute)}
	at := func(before time.Duration) time.Time { return epoch.Add(9*time.Second - before) }
	extra := func(before time.Duration) time.Duration {
		w := p.Next(at(before))
		return w.Extra(work)
	}
	require.Zero(t, extra(200*time.Millisecond))
	require.Equal(t, p.Length+guardBefore+guardAfter, extra(140*time.Millisecond), "the pause interrupts the work")
	require.Equal(t, 60*time.Millisecond+guardAfter, extra(60*time.Millisecond))
	require.Zero(t, extra(-10*time.Millisecond), "the pause is over")
	require.Equal(t, 50*time.Millisecond, p.Within(at(50*time.Millisecond), at(-20*time.Millisecond)))
	require.Equal(t, 2*p.Length-10*time.Millisecond, p.Within(at(200*time.Millisecond), at(-2990*time.Millisecond)))
	judge := func(before, took time.Duration) Verdict {
		verdict, _ := p.Judge(Reply{Sent: at(before), Replied: at(before).Add(took), Usual: work})
		return verdict
	}
	require.Equal(t, Occurred, judge(50*time.Millisecond, 70*time.Millisecond))
	require.Equal(t, Missed, judge(55*time.Millisecond, work))
	require.Equal(t, Untested, judge(100*time.Millisecond, work))
	p.Length, p.Least = 100*time.Millisecond, 65*time.Millisecond
	require.Equal(t, Missed, judge(60*time.Millisecond, work), "a short pause is tested as well")
	require.Equal(t, Untested, judge(time.Second, work))
	expired := p.Next(epoch.Add(2 * time.Minute))
	require.Equal(t, Window{}, expired)
}

// TestClockReportsFreezeOnce guards against phases that are off by the time for which the
// host was frozen.
func TestClockReportsFreezeOnce(t *testing.T) {
	var c Clock
	require.False(t, c.Stepped(epoch, 5*time.Second))
	require.False(t, c.Stepped(epoch.Add(time.Second), 6*time.Second+maxDrift))
	require.True(t, c.Stepped(epoch.Add(9*time.Second), 7*time.Second))
	require.False(t, c.Stepped(epoch.Add(10*time.Second), 8*time.Second))
}
