package claim

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestMain(m *testing.M) {
	// fasthttp, which carries the links of the benchmark, ends these goroutines late.
	goleak.VerifyTestMain(m,
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.(*workerPool).Start.func2"),
		goleak.IgnoreAnyFunction("github.com/valyala/fasthttp.updateServerDate.func1"))
}

const testFingerprint = 7

func claimAt(h *testHost, id requestid.ID) error {
	return h.Claim(context.Background(), id, testFingerprint, soon())
}

func requireDuplicate(t *testing.T, err error) *Duplicate {
	t.Helper()
	var duplicate *Duplicate
	require.ErrorAs(t, err, &duplicate)
	return duplicate
}

func requireRefusal(t *testing.T, err error, reason verdict.Reason, v verdict.Verdict) {
	t.Helper()
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, reason, refusal.Reason)
	require.Equal(t, v, refusal.Verdict)
}

func TestAtMostOnceResendToAnotherHostIsDuplicate(t *testing.T) {
	for _, n := range []int{1, 2, 3, 7} {
		f := newFleet(t, n, 1)
		id := mint(t)
		require.NoError(t, claimAt(f.host(1), id))
		require.Nil(t, requireDuplicate(t, claimAt(f.host(n), resent(id))).Outcome)

		f.host(1).Record(id, Outcome{Verdict: verdict.Ran, Status: 200, Answer: json.RawMessage(`{"a":1}`)})
		require.Eventually(t, func() bool {
			outcome := requireDuplicate(t, claimAt(f.host(n), resent(id))).Outcome
			return outcome != nil && string(outcome.Answer) == `{"a":1}` && outcome.Verdict == verdict.Ran
		}, 30*time.Second, 5*time.Millisecond)
	}
}

func TestAtMostOnceReleasedIDCanBeClaimedAgain(t *testing.T) {
	f := newFleet(t, 5, 1)
	id := mint(t)
	require.NoError(t, claimAt(f.host(1), id))
	f.host(1).Release(id)
	require.Eventually(t, func() bool { return claimAt(f.host(2), resent(id)) == nil }, 30*time.Second, 5*time.Millisecond)
	require.ErrorAs(t, claimAt(f.host(1), resent(id)), new(*Duplicate))
}

func TestAtMostOnceIDRefusedInMinorityCanBeClaimedLater(t *testing.T) {
	f := newFleet(t, 5, 1)
	ids := hostIDs(5)
	f.net.partition(ids[:2], ids[2:], true)
	minted, fromCaller := mint(t), resent(mint(t))
	requireRefusal(t, claimAt(f.host(1), minted), verdict.ClaimNoMajority, verdict.NotRun)
	requireRefusal(t, claimAt(f.host(1), fromCaller), verdict.ClaimNoMajority, verdict.Unknown)
	f.net.partition(ids[:2], ids[2:], false)
	for _, id := range []requestid.ID{resent(minted), fromCaller} {
		require.Eventually(t, func() bool { return claimAt(f.host(4), id) == nil }, 30*time.Second, 5*time.Millisecond)
	}
}

func TestAtMostOnceRestartedWitnessesDoNotVoteOnOlderIDs(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := mint(t)
	require.NoError(t, claimAt(f.host(1), id))
	list := f.host(1).list.Load()
	for _, host := range hostIDs(3) {
		f.crash(host)
		f.start(host, time.Now(), list)
	}
	requireRefusal(t, claimAt(f.host(2), resent(id)), verdict.ClaimWitnessStarting, verdict.Unknown)
}

func TestAtMostOnceReusedIDIsRefused(t *testing.T) {
	f := newFleet(t, 3, 1)
	id := mint(t)
	require.NoError(t, claimAt(f.host(1), id))
	err := f.host(2).Claim(context.Background(), resent(id), testFingerprint+1, soon())
	requireRefusal(t, err, verdict.RequestIDReused, verdict.NotRun)

	restamped := resent(id)
	restamped.IssuedAt = restamped.IssuedAt.Add(time.Second)
	require.ErrorAs(t, claimAt(f.host(2), restamped), new(*Duplicate))
}

func TestAtMostOnceReuseAtOneWitnessDoesNotReportNotRun(t *testing.T) {
	f := newFleet(t, 3, 1)
	ids := hostIDs(3)
	f.net.partition(ids[:2], ids[2:], true)
	id := resent(mint(t))
	require.NoError(t, claimAt(f.host(1), id))
	require.Error(t, f.host(3).Claim(context.Background(), id, testFingerprint+1, soon()))
	require.Equal(t, verdict.Unknown, verdict.Of(claimAt(f.host(3), id)))
	f.net.partition(ids[:2], ids[2:], false)
	require.ErrorAs(t, claimAt(f.host(3), id), new(*Duplicate))
}

func TestAtMostOnceClaimAfterDeadlineIsNotRun(t *testing.T) {
	f := newFleet(t, 3, 1)
	err := f.host(1).Claim(context.Background(), mint(t), testFingerprint, time.Now().Add(-time.Second))
	var refusal *verdict.Error
	require.ErrorAs(t, err, &refusal)
	require.Equal(t, verdict.NotRun, refusal.Verdict)
}

func TestAtMostOnceResendIsDuplicateAfterListChange(t *testing.T) {
	f := newFleet(t, 3, 1)
	ids := hostIDs(5)
	f.start(ids[3], time.Now().Add(-time.Hour), hostList(2, ids[:4]))
	id := mint(t)
	require.NoError(t, claimAt(f.host(1), id), "a host with the older list must still be able to claim")
	require.ErrorAs(t, claimAt(f.host(4), resent(id)), new(*Duplicate))
}
