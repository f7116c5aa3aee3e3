package cli

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/swiftvane/swiftvane/internal/face/callerapi"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/face/callerclient"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/support/httpjson"
)

const (
	defaultCaller   = "swiftvanectl"
	defaultAttempts = 5
	// defaultPatience limits the total time of all attempts of a query.
	defaultPatience = 2 * time.Minute
)

// queryFlags holds the values of the query command's flags.
type queryFlags struct {
	body      string
	caller    string
	requestID string
	services  []string
	deadline  time.Duration
	once      bool
	attempts  int
	patience  time.Duration
	bodies    bool
}

func newQuery(o *options) *cobra.Command {
	f := &queryFlags{}
	cmd := &cobra.Command{
		Use:   "query WORKLOAD",
		Short: "Ask all shards of a workload and print what the answer covers",
		Long: `Asks as a caller should: it sends a request again only if the tier says that it
did not run and when to ask again, always under the same request id.

Exit codes: 0 answered, 3 not run, 4 may have run, 5 ran but gave no answer.`,
		Example: `  swiftvanectl query diff-review --body '{"form":"passport"}' --deadline 2s
  swiftvanectl query order-issuing --body '{"order":17}' --service orders-1 --once`,
		Args: exactArgs("WORKLOAD"),
		RunE: func(cmd *cobra.Command, args []string) error {
			return runQuery(cmd.Context(), o, f, model.WorkloadName(args[0]))
		},
	}
	flags := cmd.Flags()
	flags.StringVar(&f.body, "body", "{}", "body of the query, any JSON")
	flags.StringVar(&f.caller, "caller", defaultCaller, "caller to ask as")
	flags.StringVar(&f.requestID, "request-id", "", "request id; give the id of an earlier attempt to learn its outcome")
	flags.StringSliceVar(&f.services, "service", nil, "services to ask; all of the workload if left out")
	flags.DurationVar(&f.deadline, "deadline", 0, "deadline of the query; the workload's default if left out")
	flags.BoolVar(&f.once, "once", false, "the query must run at most once, whatever the workload says")
	flags.IntVar(&f.attempts, "attempts", defaultAttempts, "how often to send the request at most")
	flags.DurationVar(&f.patience, "patience", defaultPatience, "time for all attempts")
	flags.BoolVar(&f.bodies, "results", false, "print each shard's result in the table")
	return cmd
}

func runQuery(ctx context.Context, o *options, f *queryFlags, workload model.WorkloadName) error {
	query, err := f.query(workload)
	if err != nil {
		return err
	}
	client := &callerclient.Client{
		URLs: o.callerURLs, Caller: model.CallerID(f.caller), MaxAttempts: f.attempts, HTTP: httpjson.New(),
	}
	defer client.HTTP.Close()
	ctx, cancel := context.WithTimeout(ctx, f.patience)
	defer cancel()

	var answer *callerapi.Answer
	began := time.Now()
	err = o.withProgress("asking", func() (err error) {
		answer, err = client.Ask(ctx, *query)
		return err
	})
	if err != nil {
		return queryFailure(query.RequestID, err)
	}
	return o.render(answer, func(t table.Writer) { drawAnswer(t, answer, time.Since(began), f.bodies) })
}

func (f *queryFlags) query(workload model.WorkloadName) (*callerapi.Query, error) {
	if !json.Valid([]byte(f.body)) {
		return nil, usagef("--body is not JSON: %q", f.body)
	}
	if f.attempts < 1 {
		return nil, usagef("--attempts = %d: allowed: 1 or more", f.attempts)
	}
	query := &callerapi.Query{
		Workload: workload, Body: json.RawMessage(f.body),
		DeadlineMS: callerapi.Deadline(f.deadline), RequestID: f.requestID,
	}
	for _, service := range f.services {
		query.Services = append(query.Services, model.ServiceName(service))
	}
	if f.once {
		idempotent := false
		query.Idempotent = &idempotent
	}
	if query.RequestID != "" {
		return query, nil
	}
	id, err := callerclient.NewRequestID()
	query.RequestID = id
	return query, err
}

// queryFailure adds the request id to err and the exit code of its verdict, or
// exitcode.Unknown if err has no verdict.
func queryFailure(id string, err error) error {
	code := exitcode.Unknown
	if e, ok := errors.AsType[*verdict.Error](err); ok {
		code = map[verdict.Verdict]exitcode.Code{
			verdict.NotRun: exitcode.NotRun, verdict.Ran: exitcode.Ran, verdict.Unknown: exitcode.Unknown,
		}[e.Verdict]
	}
	return exitcode.With(code, fmt.Errorf("request %s: %w", id, err))
}

func drawAnswer(t table.Writer, answer *callerapi.Answer, took time.Duration, bodies bool) {
	t.AppendRows([]table.Row{
		{"request id", answer.RequestID},
		{"snapshot", answer.Snapshot},
		{"coverage", fmt.Sprintf("%d of %d shards", answer.Coverage.Answered, answer.Coverage.Shards)},
		{"extra sub-requests", answer.ExtraSubrequests},
		{"took", took.Round(time.Microsecond)},
	})
	for _, missing := range answer.Coverage.Missing {
		t.AppendRow(table.Row{"missing " + string(missing.Shard), fmt.Sprintf("%s: %s", missing.Service, missing.Reason)})
	}
	if !bodies {
		return
	}
	for _, result := range answer.Results {
		body := string(result.Body)
		if body == "" {
			body = fmt.Sprintf("%d bytes", len(result.BodyBase64))
		}
		t.AppendRow(table.Row{result.Shard, body})
	}
}
