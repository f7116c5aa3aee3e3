package capacity

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/sirupsen/logrus"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/gctune"
)

// NewCommand returns the capacity command.
func NewCommand() *cobra.Command {
	var asJSON bool
	cmd := &cobra.Command{
		Use:   "capacity",
		Short: "Measure this machine and print the capacity table of docs/CAPACITY.md",
		Long: "capacity measures what each role costs, with many members in this process on\n" +
			"loopback, and extrapolates to the size that the design must carry. Other work on\n" +
			"the machine makes its figures worse.",
		Args: cobra.NoArgs,
		RunE: func(cmd *cobra.Command, _ []string) error { return run(cmd, asJSON) },
	}
	cmd.Flags().BoolVar(&asJSON, "slopes", false, "print the measured slopes as JSON in place of the table")
	return cmd
}

func run(cmd *cobra.Command, asJSON bool) error {
	gctune.Apply() // as the daemon does
	log := logrus.New()
	log.SetOutput(io.Discard)
	o := DefaultOptions(log)
	o.Progress = func(what string) { _, _ = fmt.Fprintln(cmd.ErrOrStderr(), "measuring:", what) }
	slopes, err := Measure(cmd.Context(), o)
	if err != nil {
		return err
	}
	if asJSON {
		encoder := json.NewEncoder(cmd.OutOrStdout())
		encoder.SetIndent("", "  ")
		return encoder.Encode(slopes)
	}
	size := DesignSize()
	Render(cmd.OutOrStdout(), &size, slopes)
	return nil
}
