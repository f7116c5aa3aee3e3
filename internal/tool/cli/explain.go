package cli

import (
	"errors"
	"fmt"
	"io"
	"os"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/tool/explain"
)

func newExplain(o *options) *cobra.Command {
	var opts explain.Options
	cmd := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Say from hosts' logs where requests lost their time; one request's whole story with --id",
		Args:  cobra.ArbitraryArgs,
		RunE: func(_ *cobra.Command, files []string) error {
			report, err := o.explain(files, opts)
			if err != nil {
				return err
			}
			if opts.ID != "" && o.output != outputJSON {
				return o.printRequestLines(report)
			}
			return o.render(report, func(t table.Writer) { drawExplain(t, report, opts) })
		},
	}
	cmd.Flags().StringVar(&opts.ID, "id", "", "id of the request whose lines are shown")
	cmd.Flags().BoolVar(&opts.ByRoute, "by-route", false, "count the requests of each route apart")
	cmd.Flags().DurationVar(&opts.Window, "window", 0, "count the requests of each span of this length apart")
	return cmd
}

// explain reads the logs in files, or standard input if there are none.
func (o *options) explain(files []string, opts explain.Options) (report *explain.Report, err error) {
	if len(files) == 0 {
		return explain.Read(o.streams.In, opts)
	}
	readers := make([]io.Reader, 0, len(files))
	for _, name := range files {
		file, openErr := os.Open(name)
		if openErr != nil {
			return nil, exitcode.With(exitcode.Usage, openErr)
		}
		defer func() { err = errors.Join(err, file.Close()) }()
		readers = append(readers, file)
	}
	return explain.Read(io.MultiReader(readers...), opts)
}

// printRequestLines prints the lines about one request as they were logged.
func (o *options) printRequestLines(r *explain.Report) error {
	if len(r.RequestLines) == 0 {
		return errNoRequestLines
	}
	for _, line := range r.RequestLines {
		if _, err := fmt.Fprintln(o.streams.Out, string(line)); err != nil {
			return err
		}
	}
	return nil
}

var errNoRequestLines = errors.New("no log lines for this request; hosts may have omitted them to stay within their log budget")

// drawExplain prints a column for the spans and one for the routes only if they are counted
// apart.
func drawExplain(t table.Writer, r *explain.Report, opts explain.Options) {
	t.AppendHeader(table.Row{"from", "route", "outcome", "cause", "requests", "example"})
	for _, row := range r.Rows {
		t.AppendRow(table.Row{row.From, row.Route, row.Outcome, row.Cause, row.Requests, row.Example})
	}
	t.AppendFooter(table.Row{"", "", "lines left out", "", r.LeftOut, ""})
	t.SetColumnConfigs([]table.ColumnConfig{{Number: 1, Hidden: opts.Window == 0}, {Number: 2, Hidden: !opts.ByRoute}})
}
