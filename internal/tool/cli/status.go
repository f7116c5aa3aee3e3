package cli

import (
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/face/adminapi"
)

func newStatus(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "status",
		Short: "Show the fleet as one host sees it, with the age of each fact",
		Args:  exactArgs(),
		RunE: func(*cobra.Command, []string) error {
			client, err := o.adminClient()
			if err != nil {
				return err
			}
			status, err := client.Status()
			if err != nil {
				return err
			}
			return o.render(status, func(t table.Writer) { drawStatus(t, status) })
		},
	}
}

func drawStatus(t table.Writer, s *adminapi.Status) {
	t.SetTitle("%s in %s (%s): %s", s.Self.ID, s.Self.FailureDomain, s.Self.Region, readiness(s))
	t.AppendHeader(table.Row{"host", "failure domain", "state", "linked", "revision", "digest", "host list", "heard"})
	t.AppendRow(table.Row{
		s.Self.ID, s.Self.FailureDomain, s.Self.State, "self",
		s.Config.Revision, s.Config.Digest, s.HostList.Revision, "now",
	})
	for _, h := range s.Hosts {
		if h.ID == s.Self.ID {
			continue
		}
		t.AppendRow(table.Row{
			h.ID, h.FailureDomain, h.State, h.Linked,
			h.Config.Revision, h.Config.Digest, h.HostListRevision, formatAge(h.AgeMS),
		})
	}
	t.SetCaption("platform: %s; configuration learned %s ago, host list %s ago; %d queries in flight; up %s",
		formatPlatform(s.Platform), formatAge(s.Config.AgeMS), formatAge(s.HostList.AgeMS), s.InflightQueries, formatAge(s.UptimeMS))
}

func readiness(s *adminapi.Status) string {
	switch {
	case s.Draining:
		return "stopping"
	case s.Ready:
		return "ready"
	default:
		return "not ready: " + s.NotReadyBecause
	}
}

func formatPlatform(p adminapi.PlatformStatus) string {
	text := fmt.Sprintf("not reachable, last answer %s ago", formatAge(p.AgeMS))
	if p.Reachable {
		text = fmt.Sprintf("answered %s ago", formatAge(p.AgeMS))
	}
	if p.LastError != "" {
		text += " (" + p.LastError + ")"
	}
	return text
}
