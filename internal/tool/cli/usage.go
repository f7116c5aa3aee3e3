package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

// runGroup runs a command that only groups subcommands. It prints the help, or
// returns an error if args name an unknown subcommand.
func runGroup(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	return usagef("%s has no command %q", cmd.CommandPath(), args[0])
}

// usagef returns an error for invalid flags or arguments.
func usagef(format string, args ...any) error {
	return exitcode.With(exitcode.Usage, fmt.Errorf(format, args...))
}

// exactArgs returns a check that requires one argument per name.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("%s takes %d argument(s): %s", cmd.CommandPath(), len(names), strings.Join(names, " "))
		}
		return nil
	}
}

// withUsageErrors makes the argument errors of a command from another package
// exit with exitcode.Usage.
func withUsageErrors(cmd *cobra.Command) *cobra.Command {
	check := cmd.Args
	cmd.Args = func(cmd *cobra.Command, args []string) error {
		return exitcode.With(exitcode.Usage, check(cmd, args))
	}
	return cmd
}
