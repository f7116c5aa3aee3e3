package demo

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"
	"github.com/samber/lo"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
	"github.com/swiftvane/swiftvane/internal/tool/embedded"
)

const (
	// queriesPerStep is the number of queries of each sweep or check step, enough for
	// hedging to estimate the latency of the services.
	queriesPerStep = 200
	deadline       = 10 * time.Second
	maxAttempts    = 3
)

// queryDemo runs the queries of each step and prints a row of results for it.
type queryDemo struct {
	tier *embedded.Tier
	// clients holds one client for each host; queries use them in turn, as with a
	// load balancer.
	clients  []*callerclient.Client
	out      table.Writer
	progress io.Writer
}

func newQueryDemo(tier *embedded.Tier, out, progress io.Writer) *queryDemo {
	d := &queryDemo{
		tier:     tier,
		out:      table.NewWriter(),
		progress: progress,
	}
	for _, url := range tier.CallerURLs() {
		d.clients = append(d.clients, &callerclient.Client{
			URLs: []string{url}, Caller: "demo", MaxAttempts: maxAttempts, HTTP: httpjson.New(),
		})
	}
	d.out.SetOutputMirror(out)
	d.out.AppendHeader(table.Row{"query", "answers", "snapshot", "coverage", "p50 ms", "worst ms", "extra load", "runs at targets"})
	return d
}

func (d *queryDemo) run(ctx context.Context) error {
	steps := []step{
		{name: "baseline sweep", count: queriesPerStep, query: callerapi.Query{
			Workload: "diff-review", Body: json.RawMessage(`{"sweep":"all forms"}`), DeadlineMS: callerapi.Deadline(deadline),
		}},
		{name: "drift check", count: queriesPerStep, query: callerapi.Query{
			Workload: "diff-review", Body: json.RawMessage(`{"form":"FJ-112"}`), DeadlineMS: callerapi.Deadline(deadline),
			Services: []model.ServiceName{"diff-review-03", "diff-review-11"},
		}},
		{name: "filing, sent twice", count: 2, sameID: true, query: callerapi.Query{
			Workload: "audit-archive", Body: json.RawMessage(`{"file":"evidence 4711"}`), DeadlineMS: callerapi.Deadline(deadline),
		}},
	}
	for i := range steps {
		printProgress(d.progress, "%s", steps[i].name)
		if err := d.runStep(ctx, &steps[i]); err != nil {
			return eris.Wrap(err, steps[i].name)
		}
	}
	d.out.Render()
	return nil
}

// runStep sends the queries of a step and adds its row. It returns an error if a
// query fails or an answer does not cover every shard.
func (d *queryDemo) runStep(ctx context.Context, s *step) error {
	var last *callerapi.Answer
	var latencies []time.Duration
	extra, subrequests := 0, 0
	if s.sameID {
		id, err := callerclient.NewRequestID()
		if err != nil {
			return err
		}
		s.query.RequestID = id
	}
	for i := range s.count {
		began := time.Now()
		answer, err := d.clients[i%len(d.clients)].Ask(ctx, s.query)
		if err != nil {
			return err
		}
		latencies = append(latencies, time.Since(began))
		if c := answer.Coverage; c.Answered != c.Shards {
			return eris.Errorf("the answer covers %d of %d shards", c.Answered, c.Shards)
		}
		last = answer
		extra += answer.ExtraSubrequests
		subrequests += answer.Coverage.Shards
	}
	d.out.AppendRow(s.row(last, latencies, extra, subrequests, d.runs(s)))
	return nil
}

// runs returns the number of runs that the targets recorded for the request id of
// a step with sameID, or "-" for other steps.
func (d *queryDemo) runs(s *step) string {
	if !s.sameID {
		return "-"
	}
	return fmt.Sprint(len(d.tier.Cluster.Runs(s.query.RequestID).Runs))
}

func printProgress(w io.Writer, format string, args ...any) {
	_, _ = fmt.Fprintf(w, format+"\n", args...)
}

// percentOf formats part as a percentage of whole, with one decimal.
func percentOf(part, whole int) string {
	return fmt.Sprintf("%.1f%%", 100*float64(part)/float64(lo.Ternary(whole == 0, 1, whole)))
}
