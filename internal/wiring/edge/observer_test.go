package edge

import (
	"io"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/support/logging"
)

// answerOf returns the n-th answer of a mix: of 20 answers 17 are complete, two
// partial and one late.
func answerOf(n int) *exchange.Answer {
	a := &exchange.Answer{Status: 200, Trace: &exchange.Trace{Route: "r", Sweep: true, Shards: 20, Parts: 20}}
	switch n % 20 {
	case 0, 1:
		a.Missing = 1
		a.Trace.Parts = 19
		a.Trace.Legs = []exchange.Leg{{Service: "s", Target: "t", Cause: exchange.CauseSlow, Tried: 1}}
	case 2:
		a.Trace.Late = true
	}
	return a
}

// TestLogStaysWithinBudgetAtTenfoldLoad logs ten seconds of 80 and of 800 requests
// per second; a deployed host gets about 10 per second.
func TestLogStaysWithinBudgetAtTenfoldLoad(t *testing.T) {
	const seconds = 10
	lines := map[int]int{}
	for _, rate := range []int{80, 800} {
		synctest.Test(t, func(t *testing.T) {
			log, hook := test.NewNullLogger()
			o := newObserver(log, tally.NoopScope)
			request := &exchange.Request{ID: "r"}
			for n := range rate * seconds {
				o.Answered(request, answerOf(n), time.Millisecond)
				time.Sleep(time.Second / time.Duration(rate))
			}
			lines[rate] = len(hook.AllEntries())
			reported := 0
			for _, e := range hook.AllEntries() {
				omitted, _ := e.Data["lines_left_out"].(int)
				reported += 1 + omitted
			}
			// Lines omitted in the last second are counted only by a later line.
			require.GreaterOrEqual(t, reported, rate*(seconds-2))
		})
	}
	require.LessOrEqual(t, lines[800], (2*linesPerSecond+servedLinesPerSecond)*(seconds+1))
	require.GreaterOrEqual(t, lines[800], lines[80])
}

// BenchmarkAnswered measures the cost of counting and logging one request, with a
// budget that omits most lines and with a line for each request.
func BenchmarkAnswered(b *testing.B) {
	for name, perSecond := range map[string]float64{"budget": linesPerSecond, "each": 1e9} {
		b.Run(name, func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.SetFormatter(&logrus.JSONFormatter{})
			o := newObserver(log, tally.NoopScope)
			o.servedBudget, o.failedBudget = logging.NewBudget(perSecond), logging.NewBudget(perSecond)
			request := &exchange.Request{ID: "r"}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				o.Answered(request, answerOf(n), time.Millisecond)
			}
		})
	}
}
