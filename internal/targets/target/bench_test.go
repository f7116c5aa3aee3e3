package target_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	standin "github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/targets/target"
)

// BenchmarkSearch reports the time per exchange by batch size. It includes the time
// that the stand-in target needs.
func BenchmarkSearch(b *testing.B) {
	for _, size := range []int{1, 8, 64} {
		b.Run(fmt.Sprint("batch", size), func(b *testing.B) {
			running, err := standin.Start(standin.Settings{ID: "t1"})
			if err != nil {
				b.Fatal(err)
			}
			defer running.Close()
			conn, err := target.NewHTTPDialer().Dial(b.Context(), &model.Target{ID: "t1", Addr: running.Addr()}, time.Second)
			if err != nil {
				b.Fatal(err)
			}
			defer func() { _ = conn.Close() }()
			batch := make([]target.Exchange, size)
			for i := range batch {
				batch[i] = target.Exchange{ID: uint64(i), Request: &subquery.Request{
					RequestID: "0191f6c0-0000-7000-8000-000000000000", Workload: "w", Service: "s",
					Shard: model.ShardID(fmt.Sprint(i)), Snapshot: 1, Body: []byte(`{"query":"kiosk"}`),
					Deadline: time.Now().Add(time.Hour),
				}}
			}
			b.ReportAllocs()
			exchanges := 0
			for b.Loop() {
				for _, answer := range conn.Search(b.Context(), batch) {
					if !answer.OK() {
						b.Fatal(answer.Message)
					}
				}
				exchanges += size
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(exchanges), "ns/exchange")
		})
	}
}
