package query

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/uber-go/tally/v4"
	"golang.org/x/sys/unix"

	"github.com/swiftvane/swiftvane/internal/dispatch"
	"github.com/swiftvane/swiftvane/internal/model"
	"github.com/swiftvane/swiftvane/internal/subquery"
	"github.com/swiftvane/swiftvane/internal/target"
	"github.com/swiftvane/swiftvane/internal/verdict"
	"github.com/swiftvane/swiftvane/internal/view"
)

// instantTargets is a target.Dialer whose targets answer at once, without I/O.
type instantTargets struct{}

func (instantTargets) Dial(context.Context, *model.Target, time.Duration) (target.Conn, error) {
	return instantConn{}, nil
}

type instantConn struct{}

func (instantConn) Search(_ context.Context, batch []target.Exchange) []*subquery.Answer {
	answers := make([]*subquery.Answer, len(batch))
	for i := range batch {
		answers[i] = &subquery.Answer{Verdict: verdict.Ran, Snapshot: batch[i].Request.Snapshot, Body: batch[i].Request.Body}
	}
	return answers
}

func (instantConn) Cancel(context.Context, []uint64) error       { return nil }
func (instantConn) Probe(context.Context) (subquery.Load, error) { return subquery.Load{}, nil }
func (instantConn) Broken() bool                                 { return false }
func (instantConn) Close() error                                 { return nil }

// ownAll makes self the owner of every target of the view.
func ownAll(v *view.View) *view.View {
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

func cpuTime() time.Duration {
	var u unix.Rusage
	if err := unix.Getrusage(unix.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkSubrequest reports the processor time that one sub-request takes in
// the entry and dispatch roles together.
func BenchmarkSubrequest(b *testing.B) {
	for _, shards := range []int{100, 400, 1400} {
		b.Run(fmt.Sprintf("shards=%d", shards), func(b *testing.B) {
			views := &fixedView{}
			views.v.Store(ownAll(testView(shards, 1)))
			log := logrus.New()
			log.SetOutput(io.Discard)
			local := dispatch.NewLocal(dispatch.Options{Views: views, Dialer: instantTargets{}, Scope: tally.NoopScope, Log: log})
			local.Start()
			defer local.Stop(context.Background())
			router := dispatch.NewRouter(dispatch.RouterOptions{Views: views, Local: local, Scope: tally.NoopScope})
			e := New(Options{Views: views, Dispatcher: router, Scope: tally.NoopScope, Log: log})
			b.ReportAllocs()
			before := cpuTime()
			for b.Loop() {
				if _, err := e.Execute(context.Background(), request(time.Minute)); err != nil {
					b.Fatal(err)
				}
			}
			spent := cpuTime() - before
			b.ReportMetric(float64(spent.Microseconds())/float64(b.N)/float64(shards), "cpu-µs/subrequest")
		})
	}
}
