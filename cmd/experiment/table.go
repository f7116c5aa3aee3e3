package main

import (
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/tool/load/experiment"
)

func newTableCommand() *cobra.Command {
	return &cobra.Command{
		Use:   "table FOLDER",
		Short: "Print the comparisons of a folder's reports as a Markdown table",
		Args:  cobra.ExactArgs(1),
		RunE:  func(cmd *cobra.Command, args []string) error { return printTable(cmd, args[0]) },
	}
}

func printTable(cmd *cobra.Command, folder string) error {
	paths, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil {
		return err
	}
	rows := table.NewWriter()
	rows.AppendHeader(table.Row{"experiment", "comparison", "median", "rounds", "bound", "met", "load average"})
	for _, path := range paths {
		report, err := readReport(path)
		if err != nil {
			return err
		}
		machineLoad := report.Machine.LoadAverageBefore + " to " + report.Machine.LoadAverageAfter
		for _, v := range report.Verdicts {
			rounds := lo.Map(v.Rounds, func(value float64, _ int) string { return fmt.Sprintf("%.3g", value) })
			rows.AppendRow(table.Row{
				report.Name, v.Name, fmt.Sprintf("%.3g", v.Median), strings.Join(rounds, ", "),
				v.Bound, lo.Ternary(v.Met, "yes", "**no**"), machineLoad,
			})
		}
	}
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), rows.RenderMarkdown())
	return nil
}

func readReport(path string) (*experiment.Report, error) {
	raw, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	report := new(experiment.Report)
	if err := json.Unmarshal(raw, report); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	return report, nil
}
