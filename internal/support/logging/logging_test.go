package logging

import (
	"bytes"
	"encoding/json"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestFailedRequestIsOneJSONLineWithTheSharedFields(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, DefaultLevel, "entry-1")
	require.NoError(t, err)

	refusal := verdict.Refuse(verdict.QueueFull, 250*time.Millisecond, "queue is full")
	Failed(log, Request{RequestID: "r1", Service: "s1", Target: "t1"}, refusal)

	require.Equal(t, 1, strings.Count(out.String(), "\n"))
	var line map[string]any
	require.NoError(t, json.Unmarshal(out.Bytes(), &line))
	for field, want := range map[string]any{
		FieldHost: "entry-1", FieldRequestID: "r1", FieldService: "s1", FieldTarget: "t1",
		FieldVerdict: "not_run", FieldReason: "queue_full", FieldRetryAfter: 250.0,
		"level": "info", "message": "queue is full",
	} {
		require.Equal(t, want, line[field], field)
	}
	require.NotContains(t, line, FieldCaller)
}

func TestRequestThatMayHaveRunIsAWarning(t *testing.T) {
	var out bytes.Buffer
	log, err := New(&out, DefaultLevel, "entry-1")
	require.NoError(t, err)
	Failed(log, Request{}, &verdict.Error{Reason: verdict.TargetSilent, Message: "no answer"})
	require.Contains(t, out.String(), `"level":"warning"`)
}

func TestUnknownLevelIsRefused(t *testing.T) {
	_, err := New(&bytes.Buffer{}, "loud", "entry-1")
	require.ErrorContains(t, err, "loud")
}
