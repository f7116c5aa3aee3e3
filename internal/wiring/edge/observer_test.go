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

// answerOf is the n-th of a mix: of 20 answers 17 are whole, two partial and one late.
func answerOf(n int) *exchange.Answer {
	a := &exchange.Answer{Status: 200, Account: &exchange.Account{Route: "r", Sweep: true, Shards: 20, Parts: 20}}
	switch n % 20 {
	case 0, 1:
		a.Missing = 1
		a.Account.Parts = 19
		a.Account.Legs = []exchange.Leg{{Service: "s", Target: "t", Cause: exchange.CauseSlow, Tried: 1}}
	case 2:
		a.Account.Late = true
	}
	return a
}

// TestTheLogStaysWithinItsBudgetAtTenTimesTheLoad plays ten seconds of 80 and of
// 800 requests a second; a host of the users' sites gets about 10.
func TestTheLogStaysWithinItsBudgetAtTenTimesTheLoad(t *testing.T) {
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
			told := 0
			for _, e := range hook.AllEntries() {
				left, _ := e.Data["lines_left_out"].(int)
				told += 1 + left
			}
			// What the last second left out is told by the next line.
			require.GreaterOrEqual(t, told, rate*(seconds-2))
		})
	}
	require.LessOrEqual(t, lines[800], (2*linesPerKind+plainLines)*(seconds+1))
	require.GreaterOrEqual(t, lines[800], lines[80])
}

// BenchmarkAnswered is the cost of counting and logging one request, where the
// budget leaves most lines out and where each request has its line.
func BenchmarkAnswered(b *testing.B) {
	for name, perSecond := range map[string]float64{"budget": linesPerKind, "each": 1e9} {
		b.Run(name, func(b *testing.B) {
			log := logrus.New()
			log.SetOutput(io.Discard)
			log.SetFormatter(&logrus.JSONFormatter{})
			o := newObserver(log, tally.NoopScope)
			o.plain, o.failed = logging.NewBudget(perSecond), logging.NewBudget(perSecond)
			request := &exchange.Request{ID: "r"}
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				o.Answered(request, answerOf(n), time.Millisecond)
			}
		})
	}
}
