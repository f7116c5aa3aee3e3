// Package cli implements the commands of swiftvanectl.
//
// A command writes its result to standard output, as a table or as JSON, and
// progress and errors to standard error. Its exit code is one of package
// exitcode.
package cli

import (
	"errors"
	"fmt"
	"syscall"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
	"github.com/swiftvane/swiftvane/internal/tool/capacity"
	"github.com/swiftvane/swiftvane/internal/tool/demo"
	"github.com/swiftvane/swiftvane/internal/tool/load"
)

// NewRoot returns the swiftvanectl command with all its subcommands.
func NewRoot(streams Streams) *cobra.Command {
	opts := &options{streams: streams}
	root := &cobra.Command{
		Use:   "swiftvanectl",
		Short: "Ask and operate a swiftvane query tier",
		Long: "swiftvanectl asks and operates hosts of swiftvane's own interface. " + platformModeHint + "\n" +
			"demo --platform shows that mode.",
		SilenceErrors: true,
		SilenceUsage:  true,
		Args:          cobra.ArbitraryArgs,
		RunE:          runGroup,
		PersistentPreRunE: func(*cobra.Command, []string) error {
			return exitcode.With(exitcode.Usage, opts.check())
		},
	}
	root.SetIn(streams.In)
	root.SetOut(streams.Out)
	root.SetErr(streams.Err)
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error {
		return exitcode.With(exitcode.Usage, err)
	})
	opts.register(root.PersistentFlags())
	root.AddCommand(
		newQuery(opts), newStatus(opts), newTargets(opts), newQuarantine(opts),
		newConfig(opts), newDrain(opts), newEvacuate(opts), newEvacuations(opts), newExplain(opts), newVersion(opts),
		withUsageErrors(capacity.NewCommand()), withUsageErrors(demo.NewCommand()), withUsageErrors(load.NewCommand()),
	)
	return root
}

// Execute runs the command given by args, prints its error, if any, and returns
// its exit code.
func Execute(args []string, streams Streams) exitcode.Code {
	root := NewRoot(streams)
	root.SetArgs(args)
	err := root.Execute()
	if err == nil {
		return exitcode.OK
	}
	_, _ = fmt.Fprintln(streams.Err, "swiftvanectl:", err)
	if errors.Is(err, syscall.ECONNREFUSED) {
		_, _ = fmt.Fprintln(streams.Err, platformModeHint)
	}
	return exitcode.Of(err)
}
