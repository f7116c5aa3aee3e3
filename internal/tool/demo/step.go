package demo

import (
	"fmt"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/jedib0t/go-pretty/v6/table"
)

// step is one kind of query, sent count times.
type step struct {
	name  string
	count int
	// sameID makes all queries use the same request id.
	sameID bool
	query  callerapi.Query
}

func (s *step) row(last *callerapi.Answer, latencies []time.Duration, extra, subrequests int, runs string) table.Row {
	slices.Sort(latencies)
	return table.Row{
		s.name,
		len(latencies),
		last.Snapshot,
		fmt.Sprintf("%d of %d", last.Coverage.Answered, last.Coverage.Shards),
		milliseconds(latencies[len(latencies)/2]),
		milliseconds(latencies[len(latencies)-1]),
		percentOf(extra, subrequests),
		runs,
	}
}

func milliseconds(d time.Duration) string { return fmt.Sprintf("%.1f", d.Seconds()*1000) }
