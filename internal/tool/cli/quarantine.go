package cli

import (
	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

func newQuarantine(o *options) *cobra.Command {
	cmd := &cobra.Command{
		Use:   "quarantine",
		Short: "See and release requests that are refused because they crashed targets",
		Args:  cobra.ArbitraryArgs,
		RunE:  runGroup,
	}
	cmd.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List the quarantined requests", Args: exactArgs(),
			RunE: func(*cobra.Command, []string) error { return listQuarantine(o) },
		},
		&cobra.Command{
			Use: "release FINGERPRINT", Short: "End the quarantine of a request, fleet-wide", Args: exactArgs("FINGERPRINT"),
			RunE: func(_ *cobra.Command, args []string) error { return releaseQuarantine(o, args[0]) },
		},
	)
	return cmd
}

func listQuarantine(o *options) error {
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	quarantine, err := client.Quarantine()
	if err != nil {
		return err
	}
	return o.render(quarantine, func(t table.Writer) { drawQuarantine(t, quarantine.Entries) })
}

func drawQuarantine(t table.Writer, entries []adminapi.QuarantineEntry) {
	t.AppendHeader(table.Row{"fingerprint", "caller", "workload", "service", "crashes", "targets", "age", "expires in"})
	for _, e := range entries {
		t.AppendRow(table.Row{e.Fingerprint, e.Caller, e.Workload, e.Service, e.Crashes, e.Targets, formatAge(e.AgeMS), formatAge(e.ExpiresInMS)})
	}
}

func releaseQuarantine(o *options, fingerprint string) error {
	client, err := o.adminClient()
	if err != nil {
		return err
	}
	released, err := client.Release(fingerprint)
	if err != nil {
		return err
	}
	return o.render(released, func(t table.Writer) { t.AppendRow(table.Row{"released", released.Fingerprint}) })
}
