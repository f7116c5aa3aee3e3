package quarantine

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

type counters struct {
	refused         tally.Counter
	suspectsRefused tally.Counter
	notes           tally.Counter
	cleared         tally.Counter
	released        tally.Counter
	overloaded      tally.Counter
	records         tally.Gauge
}

func newCounters(scope metrics.Scope) counters {
	return counters{
		refused:         scope.Counter("quarantine_refused"),
		suspectsRefused: scope.Counter("quarantine_suspects_refused"),
		notes:           scope.Counter("quarantine_notes"),
		cleared:         scope.Counter("quarantine_cleared"),
		released:        scope.Counter("quarantine_released"),
		overloaded:      scope.Counter("quarantine_commands_refused"),
		records:         scope.Gauge("quarantine_records"),
	}
}
