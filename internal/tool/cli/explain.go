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
	var id string
	cmd := &cobra.Command{
		Use:   "explain [FILE...]",
		Short: "Say from hosts' logs where requests lost their time; one request's whole story with --id",
		Args:  cobra.ArbitraryArgs,
		RunE: func(_ *cobra.Command, files []string) error {
			report, err := o.explain(files, id)
			if err != nil {
				return err
			}
			if id != "" && o.output != outputJSON {
				return o.printRequestLines(report)
			}
			return o.render(report, func(t table.Writer) { drawExplain(t, report) })
		},
	}
	cmd.Flags().StringVar(&id, "id", "", "id of the request whose lines are shown")
	return cmd
}

// explain reads the logs in files, or standard input if there are none.
func (o *options) explain(files []string, id string) (report *explain.Report, err error) {
	if len(files) == 0 {
		return explain.Read(o.streams.In, id)
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
	return explain.Read(io.MultiReader(readers...), id)
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

func drawExplain(t table.Writer, r *explain.Report) {
	t.AppendHeader(table.Row{"outcome", "cause", "requests", "example"})
	for _, row := range r.Rows {
		t.AppendRow(table.Row{row.Outcome, row.Cause, row.Requests, row.Example})
	}
	t.AppendFooter(table.Row{"lines left out", "", r.LeftOut, ""})
}
