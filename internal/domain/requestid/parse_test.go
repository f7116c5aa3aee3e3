package requestid

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

var testNow = time.Date(2026, 12, 3, 9, 0, 0, 0, time.UTC)

func TestGeneratedIDContainsItsIssueTime(t *testing.T) {
	id, err := Mint()
	require.NoError(t, err)
	require.True(t, id.Minted)
	parsed, refusal := Parse(id.Value, "", id.IssuedAt)
	require.Nil(t, refusal)
	require.True(t, parsed.IssuedAt.Equal(id.IssuedAt))
	require.False(t, parsed.Minted, "an id that came from a caller may have other attempts")
}

func TestParseRefusalHasReasonFieldAndVerdict(t *testing.T) {
	issuedAgo := func(age time.Duration) string { return testNow.Add(-age).Format(time.RFC3339Nano) }
	tests := []struct {
		name, value, issuedAt string
		reason                verdict.Reason
		field                 string
		verdict               verdict.Verdict
	}{
		{"empty", "", issuedAgo(0), verdict.RequestIDInvalid, FieldID, verdict.NotRun},
		{"too long", strings.Repeat("x", MaxBytes+1), issuedAgo(0), verdict.RequestIDInvalid, FieldID, verdict.NotRun},
		{"control character", "a\nb", issuedAgo(0), verdict.RequestIDInvalid, FieldID, verdict.NotRun},
		{"no issue time", "order-4711", "", verdict.RequestIDExpired, FieldIssuedAt, verdict.NotRun},
		{"malformed time", "order-4711", "yesterday", verdict.RequestIDInvalid, FieldIssuedAt, verdict.NotRun},
		{"issued a full retention window ago", "order-4711", issuedAgo(RetentionWindow), verdict.RequestIDExpired, FieldID, verdict.Unknown},
		{"issued too far in the future", "order-4711", issuedAgo(-ClockMargin - time.Millisecond), verdict.RequestIDInvalid, FieldID, verdict.NotRun},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, refusal := Parse(tt.value, tt.issuedAt, testNow)
			require.NotNil(t, refusal)
			require.Equal(t, tt.reason, refusal.Reason)
			require.Equal(t, tt.field, refusal.Field)
			require.Equal(t, tt.verdict, refusal.Verdict)
		})
	}
}

func TestParseAcceptsIssueTimesWithinRetentionWindow(t *testing.T) {
	for _, issuedAt := range []string{
		testNow.Add(-RetentionWindow + time.Millisecond).Format(time.RFC3339Nano),
		testNow.Add(ClockMargin).Format(time.RFC3339Nano),
		"1796288400000", // testNow in Unix milliseconds
	} {
		_, refusal := Parse("order-4711", issuedAt, testNow)
		require.Nil(t, refusal, issuedAt)
	}
}

func TestParsePrefersIssueTimeInUUIDv7(t *testing.T) {
	const issuedLongAgo = "0190a0b0-0000-7000-8000-000000000000"
	_, refusal := Parse(issuedLongAgo, testNow.Format(time.RFC3339Nano), testNow)
	require.NotNil(t, refusal)
	require.Equal(t, verdict.RequestIDExpired, refusal.Reason)
}
