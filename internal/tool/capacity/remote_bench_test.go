package capacity

import (
	"io"
	"testing"

	"github.com/sirupsen/logrus"
)

func BenchmarkRemote400Shards(b *testing.B) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for b.Loop() {
		cost, err := measureRemote(b.Context(), 400, log)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(cost.cpuUS, "cpu-µs/subrequest")
	}
}
