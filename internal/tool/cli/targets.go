package cli

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

func newTargets(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "targets",
		Short: "List the targets with owner, state, connections and load",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			client, err := o.adminClient()
			if err != nil {
				return err
			}
			targets, err := client.Targets()
			if err != nil {
				return err
			}
			return o.render(targets, func(t table.Writer) { drawTargets(t, targets.Targets) })
		},
	}
}

func drawTargets(t table.Writer, targets []adminapi.Target) {
	t.AppendHeader(table.Row{"target", "failure domain", "owner", "stand-by", "state", "connections", "queue", "in flight", "own report"})
	for _, target := range targets {
		report := "none"
		if l := target.Load; l != nil {
			report = fmt.Sprintf("%d in flight, %d queued, %s ago", l.Inflight, l.Queued, formatAge(l.AgeMS))
		}
		t.AppendRow(table.Row{
			target.ID, target.FailureDomain, target.Owner, target.Standby, target.State,
			fmt.Sprintf("%d of %d", target.Connections, target.MaxConnections), target.Queue,
			fmt.Sprintf("%d of %d", target.Inflight, target.Slots), report,
		})
	}
}
