package stall

import (
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkSeek measures an attempt to find a period in random differences.
func BenchmarkSeek(b *testing.B) {
	random := rand.New(rand.NewPCG(1, 1))
	spans := make([]time.Duration, maxSpans)
	for i := range spans {
		spans[i] = time.Duration(random.Int64N(int64(maxSpan)))
	}
	for b.Loop() {
		fitPeriod(spans)
	}
}

// BenchmarkReply measures what the detection and a prediction cost for each reply.
func BenchmarkReply(b *testing.B) {
	var d Detector
	p := Pattern{Period: 3 * time.Second, End: epoch, Length: 120 * time.Millisecond, Until: epoch.Add(time.Hour)}
	r := replyAfter(time.Minute+time.Second, work)
	for b.Loop() {
		d.Observe(r)
		p.Judge(r)
		p.Within(r.Sent, r.Replied)
	}
	b.ReportAllocs()
}
