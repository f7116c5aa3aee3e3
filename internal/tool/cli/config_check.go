package cli

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/configcheck"
	"github.com/swiftvane/swiftvane/internal/face/adminapi"
	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

func newConfigCheck(o *options) *cobra.Command {
	var askHost bool
	cmd := &cobra.Command{
		Use:   "check FILE",
		Short: "Check a candidate document; exit code 7 if hosts would refuse it",
		Long:  "Checks a candidate document with the code that hosts check it with. - reads standard input.",
		Args:  exactArgs("FILE"),
		RunE: func(_ *cobra.Command, args []string) error {
			return runConfigCheck(o, args[0], askHost)
		},
	}
	cmd.Flags().BoolVar(&askHost, "ask-host", false, "have the host that --admin names check it")
	return cmd
}

func runConfigCheck(o *options, file string, askHost bool) error {
	document, err := o.readDocument(file)
	if err != nil {
		return err
	}
	check, err := o.checkDocument(document, askHost)
	if err != nil {
		return err
	}
	if err := o.render(check, func(t table.Writer) { drawConfigCheck(t, check) }); err != nil {
		return err
	}
	if !check.Valid {
		return exitcode.With(exitcode.Invalid, fmt.Errorf("%s: %d problem(s)", file, len(check.Problems)))
	}
	return nil
}

func (o *options) checkDocument(document []byte, askHost bool) (*adminapi.ConfigCheck, error) {
	if !askHost {
		problems := configcheck.Check(document)
		return &adminapi.ConfigCheck{Valid: len(problems) == 0, Problems: problems}, nil
	}
	client, err := o.adminClient()
	if err != nil {
		return nil, err
	}
	return client.CheckConfig(document)
}

func drawConfigCheck(t table.Writer, check *adminapi.ConfigCheck) {
	if check.Valid {
		t.AppendRow(table.Row{"valid"})
		return
	}
	t.AppendHeader(table.Row{"path", "value", "allowed"})
	for _, problem := range check.Problems {
		t.AppendRow(table.Row{problem.Path, problem.Value, problem.Allowed})
	}
}
