package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// drive has a group serve requests at a rate, each of which ends as result after took. It
// returns how many were refused.
func drive(g *Group, from time.Time, lasts time.Duration, perSecond int, took time.Duration, result Result) (until time.Time, refused int) {
	type pending struct{ admitted, end time.Time }
	var inFlight []pending
	end := from.Add(lasts)
	for now := from; now.Before(end); now = now.Add(time.Second / time.Duration(perSecond)) {
		for len(inFlight) > 0 && !inFlight[0].end.After(now) {
			g.Ended(inFlight[0].end, Stream{}, inFlight[0].admitted, result)
			inFlight = inFlight[1:]
		}
		if !g.Admit(now, Request{Left: time.Second, Objective: 200 * time.Millisecond}).Admitted {
			refused++
			continue
		}
		inFlight = append(inFlight, pending{admitted: now, end: now.Add(took)})
	}
	for _, p := range inFlight {
		g.Ended(p.end, Stream{}, p.admitted, result)
		end = p.end
	}
	return end, refused
}

var testStart = time.Unix(5000, 0)

// TestNothingIsRefusedWithoutQueueing guards against a limit on a calm fleet and on one
// whose targets are dead, silent or slow without a queue.
func TestNothingIsRefusedWithoutQueueing(t *testing.T) {
	for _, result := range []Result{InTime, Delayed, Slow, Excused} {
		g := NewGroup(testStart)
		_, refused := drive(g, testStart, 10*time.Second, 100, 300*time.Millisecond, result)
		require.Zero(t, refused, result)
		require.False(t, g.Limited(testStart.Add(10*time.Second)))
	}
}

// TestLittleLoadIsNeverRefused guards against a limit where no more than one request is in
// flight, although all of them are late behind other hosts' queues.
func TestLittleLoadIsNeverRefused(t *testing.T) {
	g := NewGroup(testStart)
	_, refused := drive(g, testStart, 20*time.Second, 2, 450*time.Millisecond, Overdue)
	require.Zero(t, refused)
}

// TestOneRequestIsKeptInFlightUnderAnyOverload guards against a limit that shuts a host
// out, so that it could never see that the overload has ended.
func TestOneRequestIsKeptInFlightUnderAnyOverload(t *testing.T) {
	g := NewGroup(testStart)
	_, refused := drive(g, testStart, 20*time.Second, 100, 300*time.Millisecond, Overdue)
	admitted := 2000 - refused
	require.Greater(t, admitted, 40)
	require.Less(t, admitted, 400)
}

// TestLimitEndsTwoSecondsAfterLessIsOffered guards against a limit that stays.
func TestLimitEndsTwoSecondsAfterLessIsOffered(t *testing.T) {
	g := NewGroup(testStart)
	now, _ := drive(g, testStart, 5*time.Second, 100, 300*time.Millisecond, Overdue)
	require.True(t, g.Limited(now))
	now, _ = drive(g, now, 10*time.Second, 100, 50*time.Millisecond, InTime)
	now, _ = drive(g, now, 3*time.Second, 10, 50*time.Millisecond, InTime)
	now, refused := drive(g, now, 20*time.Second, 10, 50*time.Millisecond, InTime)
	require.False(t, g.Limited(now))
	require.Zero(t, refused)
}

// TestFrozenHostStartsAnew guards against limits from before a freeze of the host.
func TestFrozenHostStartsAnew(t *testing.T) {
	g := NewGroup(testStart)
	now, _ := drive(g, testStart, 5*time.Second, 100, 300*time.Millisecond, Overdue)
	require.True(t, g.Limited(now))
	now = now.Add(2 * time.Second)
	require.True(t, g.Admit(now, Request{}).Admitted)
	require.False(t, g.Limited(now))
}

// TestRetryAfterIsAtMostAThirdOfTheTimeLeft guards against times that callers don't honour
// and against callers that all come back at once.
func TestRetryAfterIsAtMostAThirdOfTheTimeLeft(t *testing.T) {
	seen := map[time.Duration]bool{}
	for n := range 50 {
		after := retryAfter(500, 20, 600*time.Millisecond, n)
		require.LessOrEqual(t, after, 200*time.Millisecond)
		require.GreaterOrEqual(t, after, 100*time.Millisecond)
		seen[after] = true
	}
	require.Greater(t, len(seen), 40)
	require.LessOrEqual(t, retryAfter(1, 100, 600*time.Millisecond, 0), leastRetry)
}

// TestCountersOfManyStreamsAreBounded guards against memory that grows with the names that
// other hosts send.
func TestCountersOfManyStreamsAreBounded(t *testing.T) {
	g := NewGroup(testStart)
	for i := range 1000 {
		g.Admit(testStart, Request{Stream: Stream{Rank: i % 3, Domain: string(rune('a' + i))}})
	}
	require.LessOrEqual(t, len(g.streams), maxStreams+3)
}

// TestRequestsInFlightDuringAFreezeCauseNoLimit guards against a host that refuses callers
// since it was frozen itself.
func TestRequestsInFlightDuringAFreezeCauseNoLimit(t *testing.T) {
	g := NewGroup(testStart)
	now, _ := drive(g, testStart, 3*time.Second, 50, 50*time.Millisecond, InTime)
	for range 20 {
		require.True(t, g.Admit(now, Request{Left: time.Second}).Admitted)
	}
	frozen := now
	now = now.Add(900 * time.Millisecond)
	for range 20 {
		g.Ended(now, Stream{}, frozen, Overdue)
	}
	_, refused := drive(g, now, 3*time.Second, 50, 50*time.Millisecond, InTime)
	require.Zero(t, refused)
}
