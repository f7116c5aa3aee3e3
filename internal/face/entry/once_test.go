package entry

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/requestid"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/hosts/claim"
)

func orderWithID(t *testing.T) (id, body string) {
	t.Helper()
	minted, err := requestid.Mint()
	require.NoError(t, err)
	return minted.Value, fmt.Sprintf(`{"workload":"orders","body":1,"request_id":%q}`, minted.Value)
}

func TestAtMostOnceUnclaimedRequestIsNotExecuted(t *testing.T) {
	f := &fakes{claimErr: verdict.Refuse(verdict.ClaimNoMajority, time.Second, "2 of 5 witnesses")}
	_, body := orderWithID(t)
	status, _, raw := post(t, newTestServer(f), body)
	require.Equal(t, 503, status)
	require.Equal(t, verdict.NotRun, decodeFailure(t, raw).Verdict)
	require.Empty(t, f.executed)
}

func TestAtMostOnceResendReturnsRecordedAnswer(t *testing.T) {
	f := &fakes{}
	s := newTestServer(f)
	id, body := orderWithID(t)
	status, _, first := post(t, s, body)
	require.Equal(t, 200, status)
	outcome := f.recorded[id]
	require.Equal(t, verdict.Ran, outcome.Verdict)

	f.claimErr = &claim.Duplicate{Outcome: &outcome}
	status, _, second := post(t, s, body)
	require.Equal(t, 200, status)
	require.JSONEq(t, string(first), string(second))
	require.Len(t, f.executed, 1)
}

// TestAtMostOnceResendWaitsForOutcomeOnItsWayToWitnesses covers a resend that comes
// right after the first answer, before its outcome has reached the witnesses.
func TestAtMostOnceResendWaitsForOutcomeOnItsWayToWitnesses(t *testing.T) {
	f := &fakes{}
	s := newTestServer(f)
	id, body := orderWithID(t)
	status, _, first := post(t, s, body)
	require.Equal(t, 200, status)
	outcome := f.recorded[id]

	f.unresolved, f.claimErr = 3, &claim.Duplicate{Outcome: &outcome}
	status, _, second := post(t, s, body)
	require.Equal(t, 200, status)
	require.JSONEq(t, string(first), string(second))
	require.Len(t, f.executed, 1)
}

func TestAtMostOnceResendOfUnfinishedRequestIsUnknown(t *testing.T) {
	f := &fakes{claimErr: &claim.Duplicate{}}
	_, body := orderWithID(t)
	status, _, raw := post(t, newTestServer(f), body)
	require.Equal(t, 409, status)
	require.Equal(t, verdict.Unknown, decodeFailure(t, raw).Verdict)
	require.Empty(t, f.executed)
}

func TestAtMostOnceIDIsReleasedOnlyIfRequestDidNotRun(t *testing.T) {
	f := &fakes{failure: verdict.Refuse(verdict.TargetUnreachable, time.Second, "refused")}
	s := newTestServer(f)
	id, body := orderWithID(t)
	_, _, _ = post(t, s, body)
	require.Equal(t, []string{id}, f.released)
	require.Empty(t, f.recorded)

	f.failure = &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.TargetSilent, Message: "no answer"}
	id, body = orderWithID(t)
	_, _, _ = post(t, s, body)
	require.Len(t, f.released, 1)
	require.Equal(t, verdict.Unknown, f.recorded[id].Verdict)
}

// TestAtMostOnceFingerprintDependsOnCallerAndBody guards against returning the
// recorded answer of another caller's or another body's request under the same id.
func TestAtMostOnceFingerprintDependsOnCallerAndBody(t *testing.T) {
	base := call{caller: "a", body: &callerapi.Query{Workload: "w", Body: json.RawMessage(`1`)}}
	other := base
	other.caller = "b"
	require.NotEqual(t, base.fingerprint(), other.fingerprint())
	changed := *base.body
	changed.Body = json.RawMessage(`2`)
	require.NotEqual(t, base.fingerprint(), (&call{caller: "a", body: &changed}).fingerprint())
}

// TestAtMostOnceRefusalOfCallerSuppliedIDIsUnknown guards against a false verdict
// not_run: an earlier attempt under the id may have run and its answer may have
// been lost.
func TestAtMostOnceRefusalOfCallerSuppliedIDIsUnknown(t *testing.T) {
	unready := verdict.Refuse(verdict.HostNotReady, time.Second, "starting")
	cases := map[string]*fakes{
		"before the claim": {ready: unready},
		"after a release":  {failure: verdict.Refuse(verdict.TargetShed, time.Second, "shedding")},
	}
	for name, f := range cases {
		t.Run(name, func(t *testing.T) {
			s := newTestServer(f)
			_, body := orderWithID(t)
			_, retryAfter, raw := post(t, s, body)
			require.Equal(t, verdict.Unknown, decodeFailure(t, raw).Verdict)
			require.Equal(t, "1", retryAfter, "the same id may be sent again")

			_, _, raw = post(t, s, `{"workload":"orders","body":1}`)
			require.Equal(t, verdict.NotRun, decodeFailure(t, raw).Verdict, "an id issued by the host has no other attempt")
		})
	}
}
