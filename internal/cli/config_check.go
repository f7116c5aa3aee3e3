package cli

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/adminapi"
	"github.com/swiftvane/swiftvane/internal/exitcode"
)

func newConfigCheck(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "check FILE",
		Short: "Check a candidate document; - reads standard input",
		Args:  exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			return runConfigCheck(o, args[0])
		},
	}
}

func runConfigCheck(o *options, file string) error {
	document, err := o.readDocument(file)
	if err != nil {
		return err
	}
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	check, err := client.CheckConfig(document)
	if err != nil {
		return err
	}
	if err := o.render(check, func(t table.Writer) { drawCheck(t, check) }); err != nil {
		return err
	}
	if !check.Valid {
		return exitcode.With(exitcode.Invalid, fmt.Errorf("%s: %d problem(s)", file, len(check.Problems)))
	}
	return nil
}

func drawCheck(t table.Writer, check *adminapi.ConfigCheck) {
	if check.Valid {
		t.AppendRow(table.Row{"valid"})
		return
	}
	t.AppendHeader(table.Row{"path", "problem"})
	for _, problem := range check.Problems {
		t.AppendRow(table.Row{problem.Path, problem.Message})
	}
}
