package explain

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

const logged = `  2.1 front-1 {"message":"started","host":"h"}
  2.2 front-1 {"request_id":"a","outcome":"partial","message":"request","legs":[{"service":"s","cause":"target_slow","tried":1},{"service":"t","cause":"target_slow","tried":1}]}
not a line
{"request_id":"b","outcome":"partial","lines_left_out":3,"message":"request","legs":[{"service":"s","cause":"target_slow","tried":1},{"service":"s","cause":"no_target","tried":0}]}
{"request_id":"c","outcome":"no_room","message":"request"}
`

func TestRequestIsCountedOncePerCause(t *testing.T) {
	report, err := Read(strings.NewReader(logged), Options{ID: "b"})
	require.NoError(t, err)
	require.Equal(t, []Row{
		{Outcome: "partial", Cause: exchange.CauseSlow, Requests: 2, Example: "a"},
		{Outcome: "no_room", Requests: 1, Example: "c"},
		{Outcome: "partial", Cause: exchange.CauseNoTarget, Requests: 1, Example: "b"},
	}, report.Rows)
	require.Equal(t, 3, report.LeftOut)
	require.Len(t, report.RequestLines, 1)
}

// TestSpansAndRoutesAreCountedApart guards against a day's table in which the seconds with
// the losses can't be told from the others.
func TestSpansAndRoutesAreCountedApart(t *testing.T) {
	log := `
{"time":"2026-01-01T00:00:00Z","request_id":"a","outcome":"served","route":"r"}
{"time":"2026-01-01T00:00:01.5Z","request_id":"b","outcome":"late","route":"r"}
{"time":"2026-01-01T00:00:02.5Z","request_id":"c","outcome":"late","route":"r"}
{"time":"2026-01-01T00:00:02.6Z","request_id":"d","outcome":"late","route":"q"}`
	report, err := Read(strings.NewReader(log), Options{ByRoute: true, Window: 2 * time.Second})
	require.NoError(t, err)
	var rows []string
	for _, r := range report.Rows {
		rows = append(rows, fmt.Sprint(r.From, r.Route, r.Outcome, r.Requests))
	}
	require.Equal(t, []string{"0srlate1", "0srserved1", "2sqlate1", "2srlate1"}, rows)
}
