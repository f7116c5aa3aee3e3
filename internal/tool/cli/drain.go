package cli

import (
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"
)

func newDrain(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "drain",
		Short: "Begin the planned stop of the host that --admin names",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			client, err := o.adminClient()
			if err != nil {
				return err
			}
			drain, err := client.Drain()
			if err != nil {
				return err
			}
			return o.render(drain, func(t table.Writer) {
				t.AppendRow(table.Row{"draining", drain.Draining})
				t.AppendRow(table.Row{"had begun before", drain.Already})
			})
		},
	}
}
