package load

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/schollz/progressbar/v3"
	"github.com/spf13/cobra"
)

// commandFlags holds the values of the load command's flags.
type commandFlags struct {
	urls        []string
	out         string
	plot        string
	allowRemote bool
}

// NewCommand returns the load command.
func NewCommand() *cobra.Command {
	flags := new(commandFlags)
	cmd := &cobra.Command{
		Use:   "load RUN.toml",
		Short: "Offer queries at a set rate and report latency, coverage and extra load",
		Long: "load offers the queries that a run file describes, whether or not earlier ones\n" +
			"were answered. Latency is measured from each query's intended arrival.",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error { return runCommand(cmd, args[0], flags) },
	}
	cmd.Flags().StringSliceVar(&flags.urls, "url", nil, "hosts' caller addresses, in place of the run file's")
	cmd.Flags().StringVar(&flags.out, "out", "", "file for the report as JSON; the default is standard output")
	cmd.Flags().StringVar(&flags.plot, "plot", "", "file for a picture of the latencies, .svg or .png")
	cmd.Flags().BoolVar(&flags.allowRemote, "allow-remote", false, "allow addresses that are not loopback")
	return cmd
}

func runCommand(cmd *cobra.Command, path string, flags *commandFlags) error {
	run, err := ReadRun(path)
	if err != nil {
		return err
	}
	if len(flags.urls) > 0 {
		run.URLs = flags.urls
	}
	if !flags.allowRemote {
		if err := run.CheckLoopback(); err != nil {
			return err
		}
	}
	client, err := NewHTTPClient(run.URLs, run.MaxInflight)
	if err != nil {
		return err
	}
	defer client.Close()
	report, err := Generate(cmd.Context(), run, client, showProgress(cmd, run))
	if err != nil {
		return err
	}
	if flags.plot != "" {
		if err := Plot(flags.plot, run.Name, report); err != nil {
			return fmt.Errorf("--plot: %w", err)
		}
	}
	if flags.out != "" {
		return WriteJSON(flags.out, report)
	}
	encoder := json.NewEncoder(cmd.OutOrStdout())
	encoder.SetIndent("", "  ")
	return encoder.Encode(report)
}

// showProgress returns a Progress that draws a progress bar on standard error.
func showProgress(cmd *cobra.Command, run *Run) Progress {
	total := time.Duration(run.Warmup) + time.Duration(run.Duration)
	bar := progressbar.NewOptions64(total.Milliseconds(),
		progressbar.OptionSetWriter(cmd.ErrOrStderr()),
		progressbar.OptionSetDescription(run.Name),
		progressbar.OptionClearOnFinish(),
	)
	return func(elapsed, _ time.Duration, _ int) { _ = bar.Set64(min(elapsed, total).Milliseconds()) }
}
