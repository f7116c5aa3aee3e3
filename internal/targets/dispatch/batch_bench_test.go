package dispatch

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// BenchmarkBatch reports the sub-requests per second that one stand-in target of
// two slots answers with 100 outstanding, with and without batches.
func BenchmarkBatch(b *testing.B) {
	for _, size := range []int{1, 8, 32} {
		b.Run(fmt.Sprintf("max=%d", size), func(b *testing.B) {
			running, err := standin.Start(standin.Settings{ID: "t0"})
			require.NoError(b, err)
			defer running.Close()
			v := ownView("h0", 1, 2, 25)
			v.Fleet.Targets["t0"].Addr = running.Addr()
			l := NewLocal(Options{Views: newViews(v), Dialer: target.NewHTTPDialer(), Scope: tally.NoopScope, Log: quietLog(), Limits: Limits{MaxBatch: size}})
			l.Start()
			defer stopLocal(l)
			const waiting = 100
			free := make(chan struct{}, waiting)
			for range waiting {
				free <- struct{}{}
			}
			body := []byte(`{"query":"kiosk"}`)
			b.ResetTimer()
			for range b.N {
				<-free
				req := subrequest(model.TargetID("t0"), "s", time.Minute)
				req.Body = body
				l.Submit(req, func(*subquery.Answer) { free <- struct{}{} })
			}
			for range waiting {
				<-free
			}
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "subrequests/s")
		})
	}
}
