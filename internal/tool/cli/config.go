package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"
)

// stdinName names standard input in place of a file.
const stdinName = "-"

func newConfig(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, compare and follow the published configuration",
		Args:  cobra.ArbitraryArgs,
		RunE:  needsCommand,
	}
	cmd.AddCommand(newConfigCheck(o), newConfigDiff(o), newConfigWait(o))
	return cmd
}

// readDocument returns the content of the file name, or of standard input.
func (o *options) readDocument(name string) ([]byte, error) {
	if name == stdinName {
		content, err := io.ReadAll(o.streams.In)
		return content, err
	}
	content, err := os.ReadFile(name)
	if err != nil {
		return nil, usagef("%w", err)
	}
	return content, nil
}
