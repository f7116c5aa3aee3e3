package edge

import (
	"testing"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestEvacuationIsInEffectOnceNoCallIsInFlight guards against an evacuation that is said
// to be in effect while calls are in flight, against a line for each tick, and against one
// that is requested again and not reported.
func TestEvacuationIsInEffectOnceNoCallIsInFlight(t *testing.T) {
	log, hook := test.NewNullLogger()
	m := newEvacuationMonitor(log, tally.NoopScope, 5*time.Second)
	began := time.Now()
	inFlight := func(calls int, since time.Time) []targetpool.EvacuationStatus {
		return []targetpool.EvacuationStatus{{Evacuation: catalog.Evacuation{Domain: "x", Since: since}, Targets: 2, InFlight: calls}}
	}
	lines := func() []string {
		return lo.Map(hook.AllEntries(), func(e *logrus.Entry, _ int) string { return e.Message })
	}
	const overdue, inEffect = "calls to an evacuated failure domain are still in flight", "evacuation of a failure domain is in effect"
	m.update(inFlight(1, began), began)
	require.Empty(t, lines())
	for range 2 {
		m.update(inFlight(1, began), began.Add(6*time.Second))
	}
	for range 2 {
		m.update(inFlight(0, began), began.Add(7*time.Second))
	}
	require.Equal(t, []string{overdue, inEffect}, lines())
	m.update(nil, began.Add(8*time.Second))
	m.update(inFlight(0, began.Add(9*time.Second)), began.Add(9*time.Second))
	require.Equal(t, []string{overdue, inEffect, inEffect}, lines())
}
