package crashguard

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// crashUnder records that targets of one service ended while they had a request.
func crashUnder(g *Guard, r *exchange.Request, at time.Time, targets ...string) {
	for _, target := range targets {
		g.Add(CrashReport{Request: FingerprintOf(r), Target: target, Born: at.UnixMilli(), Service: "s"}, at)
	}
}

// TestFirstCrashIsEnoughOnceEarlierOnesMayBeForgotten guards against a request that crashes more
// targets after each loss of all hosts.
func TestFirstCrashIsEnoughOnceEarlierOnesMayBeForgotten(t *testing.T) {
	now := time.Now()
	bad := &exchange.Request{Method: "GET", URI: "/bad"}
	g := New()
	crashUnder(g, bad, now, "a", "b")
	require.False(t, g.Blocks(bad, now), "the fleet starts for the first time")
	g = New()
	g.Restarted(now)
	crashUnder(g, bad, now.Add(time.Second), "a", "b")
	require.True(t, g.Blocks(bad, now.Add(time.Second)))
	require.True(t, g.Blocks(bad, now.Add(blockFor)))
	require.False(t, g.Blocks(bad, now.Add(blockFor+time.Second)))
	require.True(t, g.Suspects(bad), "it runs on one target alone")
}

// TestTwoTargetsOfAServiceAreKeptOfManyThatEnded guards against a sweep whose many ended targets hide
// that two of one service ended.
func TestTwoTargetsOfAServiceAreKeptOfManyThatEnded(t *testing.T) {
	now := time.Now()
	sweep := &exchange.Request{Method: "GET", URI: "/sweep"}
	g := New()
	g.Restarted(now)
	for _, replica := range []string{"1", "2"} {
		for shard := range 3 * maxTargets {
			service := fmt.Sprint("s-", shard)
			g.Add(CrashReport{Request: FingerprintOf(sweep), Target: service + "-" + replica, Born: 1, Service: service}, now)
		}
	}
	require.True(t, g.Blocks(sweep, now.Add(holdFor)))
	require.LessOrEqual(t, len(g.Reports(now)), maxTargets)
}

// TestRequestThatRanBesideACrashIsNotRefusedForLong guards against the refusal of requests for what
// another one did, or a target itself, on a host that may have forgotten earlier crashes.
func TestRequestThatRanBesideACrashIsNotRefusedForLong(t *testing.T) {
	now := time.Now()
	g := New()
	g.Restarted(now)
	beside := &exchange.Request{Method: "POST", URI: "/beside"}
	crashUnder(g, beside, now, "a")
	require.True(t, g.Blocks(beside, now.Add(holdFor-time.Millisecond)))
	require.False(t, g.Blocks(beside, now.Add(holdFor)))
	popular := &exchange.Request{Method: "GET", URI: "/popular"}
	g.Served(popular, now)
	crashUnder(g, popular, now, "a", "b")
	require.False(t, g.Blocks(popular, now), "targets have answered it")
	require.True(t, g.Suspects(popular))
	g.Answered(popular, "s", now.Add(time.Millisecond))
	require.False(t, g.Suspects(popular))
	crashUnder(g, popular, now.Add(time.Second), "c")
	crashUnder(g, popular, now.Add(2*time.Second), "d")
	require.True(t, g.Blocks(popular, now.Add(2*time.Second)), "two separate crashes are proof all the same")
}

// TestRequestsThatLostTheSameTargetsAreNotRefusedForLong guards against the refusal of requests whose
// repeat was caught by the same request at fault as well, as that of a sweep.
func TestRequestsThatLostTheSameTargetsAreNotRefusedForLong(t *testing.T) {
	now := time.Now()
	g := New()
	g.Restarted(now)
	bad, beside := &exchange.Request{Method: "GET", URI: "/bad"}, &exchange.Request{Method: "GET", URI: "/beside"}
	crashUnder(g, bad, now, "a", "b")
	crashUnder(g, beside, now.Add(sameCrashWindow/2), "a", "b")
	for _, r := range []*exchange.Request{bad, beside} {
		require.True(t, g.Blocks(r, now.Add(holdFor-time.Millisecond)))
		require.False(t, g.Blocks(r, now.Add(holdFor+sameCrashWindow)))
		require.True(t, g.Suspects(r), "it runs on one target alone")
	}
	crashUnder(g, bad, now.Add(holdFor+time.Second), "c")
	require.True(t, g.Blocks(bad, now.Add(holdFor+2*time.Second)))
	require.False(t, g.Blocks(beside, now.Add(holdFor+2*time.Second)))
}

// TestMemoryOfOneHostIsThatOfAllWhichItTells guards against hosts that stay strict although another
// one has told them all, and against the word of one that has forgotten as much.
func TestMemoryOfOneHostIsThatOfAllWhichItTells(t *testing.T) {
	now := time.Now()
	bad := &exchange.Request{Method: "GET", URI: "/bad"}
	first, restarted, later := New(), New(), New()
	require.Equal(t, suspectTTL, first.Memory(now))
	restarted.Restarted(now)
	later.Restarted(now.Add(time.Minute))
	now = now.Add(2 * time.Minute)
	require.Equal(t, 2*time.Minute, restarted.Memory(now))
	crashUnder(later, bad, now, "a", "b")
	later.Learn(restarted.Memory(now), now)
	require.Equal(t, 2*time.Minute, later.Memory(now))
	later.Learn(0, now)
	require.True(t, later.Blocks(bad, now))
	later.Learn(first.Memory(now), now)
	require.Equal(t, suspectTTL, later.Memory(now))
	require.False(t, later.Blocks(bad, now))
	require.Equal(t, suspectTTL, restarted.Memory(now.Add(suspectTTL)), "older suspects would be gone")
}

// TestServedRequestsAreBounded guards against memory that grows with the number of requests.
func TestServedRequestsAreBounded(t *testing.T) {
	var s servedSet
	for i := range 5 * maxServed {
		s.add(Fingerprint(i))
		require.True(t, s.has(Fingerprint(max(i-maxServed+1, 0))), fmt.Sprint(i))
	}
	require.LessOrEqual(t, len(s.recent)+len(s.older), 2*maxServed)
	require.False(t, s.has(0))
}
