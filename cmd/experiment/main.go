// Command experiment runs experiments against stand-ins in its own process,
// prints the comparisons and writes a report and a plot of each experiment.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"strings"
	"syscall"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/tool/load"
	"github.com/swiftvane/swiftvane/internal/tool/load/experiment"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := newCommand().ExecuteContext(ctx); err != nil {
		fmt.Fprintln(os.Stderr, "experiment:", err)
		os.Exit(1)
	}
}

func newCommand() *cobra.Command {
	var out string
	cmd := &cobra.Command{
		Use:           "experiment FILE.toml...",
		Short:         "Compare ways of answering queries under the same load",
		Args:          cobra.MinimumNArgs(1),
		SilenceUsage:  true,
		SilenceErrors: true,
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, path := range args {
				if err := runOne(cmd, path, out); err != nil {
					return err
				}
			}
			return nil
		},
	}
	cmd.Flags().StringVar(&out, "out", "", "folder for reports and pictures; none are written without it")
	cmd.AddCommand(newTableCommand())
	return cmd
}

func runOne(cmd *cobra.Command, path, out string) error {
	plan, err := experiment.Read(path)
	if err != nil {
		return err
	}
	report, err := experiment.Run(cmd.Context(), plan, func(line string) { cmd.PrintErrln(line) })
	if err != nil {
		return err
	}
	printReport(cmd, report)
	if out == "" {
		return nil
	}
	base := filepath.Join(out, strings.TrimSuffix(filepath.Base(path), filepath.Ext(path)))
	if err := load.WriteJSON(base+".json", report); err != nil {
		return err
	}
	var last []*load.Report
	for _, arm := range report.Rounds[len(report.Rounds)-1] {
		last = append(last, arm.Load)
	}
	return load.Plot(base+".svg", report.Name, last...)
}

// printReport prints the figures of each arm and round, then the comparisons.
func printReport(cmd *cobra.Command, report *experiment.Report) {
	arms := table.NewWriter()
	arms.AppendHeader(table.Row{"round", "arm", "p50 ms", "p99 ms", "p99.9 ms", "answers/s", "coverage", "extra", "target extra", "refused", "refusal p99", "failed", "not sent", "peak conns", "cpu us"})
	for round, reports := range report.Rounds {
		for _, arm := range reports {
			s := &arm.Load.Summary
			arms.AppendRow(table.Row{
				round + 1, arm.Name, s.AnswerLatency.P50, s.AnswerLatency.P99, s.AnswerLatency.P999,
				fmt.Sprintf("%.1f", arm.Goodput), fmt.Sprintf("%.4f", s.Coverage.Mean), fmt.Sprintf("%.4f", arm.ExtraLoad), fmt.Sprintf("%.4f", arm.TargetExtra),
				s.Refusals, s.RefusalLatency.P99, s.Failures, arm.Load.NotSent, arm.PeakConnections,
				fmt.Sprintf("%.1f", arm.CPUMicrosPerSubRequest),
			})
		}
	}
	verdicts := table.NewWriter()
	verdicts.AppendHeader(table.Row{"comparison", "median", "bound", "met", "rounds"})
	for _, v := range report.Verdicts {
		verdicts.AppendRow(table.Row{v.Name, fmt.Sprintf("%.4f", v.Median), v.Bound, v.Met, fmt.Sprintf("%.3f", v.Rounds)})
	}
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), arms.Render())
	_, _ = fmt.Fprintln(cmd.OutOrStdout(), verdicts.Render())
}
