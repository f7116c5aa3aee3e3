package explain

import (
	"strings"
	"testing"

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
	report, err := Read(strings.NewReader(logged), "b")
	require.NoError(t, err)
	require.Equal(t, []Row{
		{Outcome: "partial", Cause: exchange.CauseSlow, Requests: 2, Example: "a"},
		{Outcome: "no_room", Requests: 1, Example: "c"},
		{Outcome: "partial", Cause: exchange.CauseNoTarget, Requests: 1, Example: "b"},
	}, report.Rows)
	require.Equal(t, 3, report.LeftOut)
	require.Len(t, report.RequestLines, 1)
}
