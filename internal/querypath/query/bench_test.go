package query

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/instant"
	"github.com/swiftvane/swiftvane/internal/support/cputime"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
	"github.com/swiftvane/swiftvane/internal/targets/dispatch"
)

// assignAllToSelf makes self the owner of every target of the view.
func assignAllToSelf(v *view.View) *view.View {
	v.Owners = map[model.TargetID]view.Owners{}
	index := v.Fleet.Indexes[sweep]
	for _, sh := range index.Newest().Shards {
		for _, id := range sh.Replicas {
			v.Fleet.Targets[id] = &model.Target{ID: id, Addr: string(id), Slots: 2, MaxConnections: 25}
			v.Owners[id] = view.Owners{Owner: v.Self.ID}
		}
	}
	return v
}

// BenchmarkSubrequest reports the CPU time of one sub-request in the entry and
// dispatch roles together.
func BenchmarkSubrequest(b *testing.B) {
	for _, shards := range []int{100, 400, 1400} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			views := &fixedView{}
			views.v.Store(assignAllToSelf(testView(shards, 1)))
			log := logrus.New()
			log.SetOutput(io.Discard)
			local := dispatch.NewLocal(dispatch.Options{Views: views, Dialer: instant.Dialer{}, Scope: tally.NoopScope, Log: log})
			local.Start()
			defer local.Stop(context.Background())
			router := dispatch.NewRouter(dispatch.RouterOptions{Views: views, Local: local, Scope: tally.NoopScope})
			e := New(Options{Views: views, Dispatcher: router, Scope: tally.NoopScope, Log: log})
			b.ReportAllocs()
			before := cputime.Used()
			for b.Loop() {
				if _, err := e.Execute(context.Background(), request(time.Minute)); err != nil {
					b.Fatal(err)
				}
			}
			spent := cputime.Used() - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(shards), "cpu-µs/subrequest")
		})
	}
}
