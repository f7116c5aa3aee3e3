package relay

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// TestStatusOfTargetNeverSaysThatRequestHasNotRun covers replies whose status promises
// that nothing has run, without the target's own report of it. It guards against callers
// that send work again which has run.
func TestStatusOfTargetNeverSaysThatRequestHasNotRun(t *testing.T) {
	for status, want := range map[int]int{503: 502, 429: 502, 408: 502, 421: 502, 404: 404, 500: 500, 302: 302} {
		s := &single{run: &run{}, refused: maxRefusals, leg: leg{pending: 1, attempts: []attempt{{}}}}
		reply := &exchange.Reply{Status: status, Signature: "s"}
		ev := event{outcome: targetpool.Outcome{Reply: reply, Verdict: verdict.Ran}}
		answer := s.outcome(ev, s.times.final)
		require.NotNil(t, answer, status)
		require.Equal(t, want, answer.Status, status)
		require.Equal(t, want == status, answer.Relayed == reply)
	}
}
