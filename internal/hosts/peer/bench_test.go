package peer

import (
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/support/cputime"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// BenchmarkCall measures a sub-request to a peer and its answer. Both ends run in
// this process, and cpu-µs/op is the processor time of both together.
func BenchmarkCall(b *testing.B) {
	for _, inflight := range []int{1, 64, 1024} {
		b.Run(map[int]string{1: "inflight=1", 64: "inflight=64", 1024: "inflight=1024"}[inflight], func(b *testing.B) {
			benchmarkCall(b, inflight)
		})
	}
}

func benchmarkCall(b *testing.B, inflight int) {
	addrs := newAddressTable()
	a, scope := startMesh(b, "a", addrs, nil, nil)
	startMesh(b, "b", addrs, nil, map[Kind]Handler{KindSubquery: func(in *Inbound) {
		var req subquery.Request
		if Decode(in.Payload, &req) != nil {
			return
		}
		in.Reply(&subquery.Answer{Verdict: verdict.Ran, Body: req.Body, Snapshot: req.Snapshot})
	}})
	req := &subquery.Request{
		RequestID: "0193a4d2-1111-7000-8000-000000000000", Caller: "desk", Workload: "diff-review", Service: "forms",
		Shard: "forms-12", Target: "searcher-12-1", Snapshot: 42, Body: make([]byte, 200), Idempotent: true,
	}
	slots := make(chan struct{}, inflight)
	var wg sync.WaitGroup
	b.ReportAllocs()
	b.ResetTimer()
	began := cputime.Used()
	for range b.N {
		slots <- struct{}{}
		wg.Add(1)
		a.Go("b", KindSubquery, req, time.Now().Add(time.Minute), func(raw cbor.RawMessage, err error) {
			var answer subquery.Answer
			if err != nil || Decode(raw, &answer) != nil {
				b.Error("no answer")
			}
			<-slots
			wg.Done()
		})
	}
	wg.Wait()
	frames := scope.Snapshot().Counters()["peer.frames_sent+"].Value()
	b.ReportMetric(float64(b.N)/float64(frames), "msgs/frame")
	b.ReportMetric(float64((cputime.Used()-began).Microseconds())/float64(b.N), "cpu-µs/op")
}
