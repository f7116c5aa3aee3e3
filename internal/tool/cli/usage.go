package cli

import (
	"fmt"
	"strings"

	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/exitcode"
)

// needsCommand runs a command that only groups others: it prints its help, or an
// error for a command that it does not have.
func needsCommand(cmd *cobra.Command, args []string) error {
	if len(args) == 0 {
		return cmd.Help()
	}
	return usagef("%s has no command %q", cmd.CommandPath(), args[0])
}

// usagef returns an error of bad flags or arguments.
func usagef(format string, args ...any) error {
	return exitcode.With(exitcode.Usage, fmt.Errorf(format, args...))
}

// exactArgs returns a check for the arguments that names stand for.
func exactArgs(names ...string) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error {
		if len(args) != len(names) {
			return usagef("%s takes %d argument(s): %s", cmd.CommandPath(), len(names), strings.Join(names, " "))
		}
		return nil
	}
}

// mounted gives the argument errors of a command of another package their exit
// code.
func mounted(cmd *cobra.Command) *cobra.Command {
	check := cmd.Args
	cmd.Args = func(cmd *cobra.Command, args []string) error {
		return exitcode.With(exitcode.Usage, check(cmd, args))
	}
	return cmd
}
