package cli

import (
	"io"
	"os"

	"github.com/spf13/cobra"
)

// stdinName is the file name that means standard input.
const stdinName = "-"

func newConfig(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "config",
		Short: "Check, compare and follow the published configuration",
		Args:  cobra.ArbitraryArgs,
		RunE:  runGroup,
	}
	cmd.AddCommand(newConfigCheck(o), newConfigDiff(o), newConfigWait(o))
	return cmd
}

// readDocument returns the content of the named file, or of standard input if
// name is stdinName.
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
