// Package demo runs the tier end to end in one process with embedded stand-ins.
package demo

import (
	"context"
	"io"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/standin/cluster"
	"github.com/swiftvane/swiftvane/internal/standin/fixture"
	"github.com/swiftvane/swiftvane/internal/standin/target"
	"github.com/swiftvane/swiftvane/internal/tool/embedded"
)

const (
	demoHosts    = 3
	startTimeout = 20 * time.Second
	demoSeed     = 1
	// Each target answers in about 4 ms, and one reply in 100 takes 20 times as
	// long.
	latencyMedianUS = 4000
	latencySigma    = 0.25
	stragglerShare  = 0.01
	stragglerFactor = 20
)

// NewCommand returns the demo command.
func NewCommand() *cobra.Command {
	onPlatform := false
	cmd := &cobra.Command{
		Use:   "demo",
		Short: "Run the whole path in one process on embedded stand-ins",
		Long: "demo starts a stand-in platform, the 40 targets of a diff review, 4 targets of\n" +
			"an archive and 3 hosts of the tier in this process. It asks a sweep, a quick\n" +
			"check and a filing that must not repeat, and prints what came of them.\n" +
			"With --platform it shows the mode for the users' platform instead: a store, 44\n" +
			"targets and 3 hosts, sweeps while targets stand still and end, reads and orders.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error {
			ctx := cmd.Context()
			if ctx == nil {
				ctx = context.Background()
			}
			if onPlatform {
				return runPlatform(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr())
			}
			return run(ctx, cmd.OutOrStdout(), cmd.ErrOrStderr())
		},
	}
	cmd.Flags().BoolVar(&onPlatform, "platform", false, "show the mode for the users' platform")
	return cmd
}

func run(ctx context.Context, out, progress io.Writer) error {
	printProgress(progress, "starting a platform, 44 targets and %d hosts in this process", demoHosts)
	starting, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	sweeps := fixture.DiffReview()
	tier, err := embedded.Start(starting, embedded.Options{
		Hosts: demoHosts,
		Cluster: cluster.Options{
			Shapes: []fixture.Shape{sweeps, fixture.AuditArchive()},
			// Without it, a slow machine gets answers without the stragglers.
			FullCoverage: []model.WorkloadName{sweeps.Workload},
			Faults: target.Faults{
				LatencyMedianUS: latencyMedianUS,
				LatencySigma:    latencySigma,
				StragglerShare:  stragglerShare,
				StragglerFactor: stragglerFactor,
			},
			Seed: demoSeed,
		},
		Log: discardLogger(),
	})
	if err != nil {
		return err
	}
	defer tier.Close()
	return newQueryDemo(tier, out, progress).run(ctx)
}

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}
