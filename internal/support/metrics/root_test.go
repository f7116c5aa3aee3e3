package metrics

import (
	"math"
	"net/http/httptest"
	"testing"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

func TestReasonCounterShowsInTheScrape(t *testing.T) {
	defer goleak.VerifyNone(t)
	scope, handler, closer := New(logrus.New())
	IncReason(scope, "refused", verdict.QueueFull)
	IncReason(scope, "refused", verdict.QueueFull)
	IncReason(scope, "refused", verdict.TargetShed)
	require.NoError(t, closer.Close(), "Close reports all counts")

	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	body := recorder.Body.String()
	require.Contains(t, body, `swiftvane_refused{reason="queue_full"} 2`)
	require.Contains(t, body, `swiftvane_refused{reason="target_shed"} 1`)
	require.Contains(t, body, "go_goroutines")
}

func TestTwoTagSetsUnderOneNameDoNotPanic(t *testing.T) {
	defer goleak.VerifyNone(t)
	log := logrus.New()
	log.SetOutput(t.Output())
	scope, handler, closer := New(log)
	IncReason(scope, "mixed", verdict.QueueFull)
	scope.Tagged(map[string]string{"other": "x"}).Counter("mixed").Inc(1)
	require.NoError(t, closer.Close())
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Equal(t, 200, recorder.Code)
}

// TestCounterThatWouldDecreaseDoesNotPanic guards against a sum beyond an int64, or a negative number, that
// ends the process where it is reported.
func TestCounterThatWouldDecreaseDoesNotPanic(t *testing.T) {
	defer goleak.VerifyNone(t)
	log, hook := test.NewNullLogger()
	scope, handler, closer := New(log)
	scope.Counter("overflowing").Inc(math.MaxInt64)
	scope.Counter("overflowing").Inc(1)
	scope.Counter("negative").Inc(-1)
	scope.Counter("sound").Inc(2)
	require.NoError(t, closer.Close())
	require.Len(t, hook.AllEntries(), 2)
	recorder := httptest.NewRecorder()
	handler.ServeHTTP(recorder, httptest.NewRequest("GET", "/metrics", nil))
	require.Contains(t, recorder.Body.String(), "swiftvane_sound 2")
}
