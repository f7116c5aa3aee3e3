package cli

import (
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/support/version"
)

func newVersion(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "version",
		Short: "Print the version that this program was built from",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			info := version.Read()
			return o.render(info, func(t table.Writer) {
				t.AppendRow(table.Row{"version", info.Version})
				t.AppendRow(table.Row{"go", info.Go})
			})
		},
	}
}
