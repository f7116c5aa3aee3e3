package cli

import (
	"fmt"
	"strings"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/spf13/cobra"

	"github.com/swiftvane/swiftvane/internal/adminapi"
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
	t.AppendHeader(table.Row{"host", "failure domain", "state", "configuration", "host list", "heard"})
	t.AppendRow(table.Row{
		s.Self.ID, s.Self.FailureDomain, s.Self.State, s.Config.Revision, s.HostList.Revision, "this host",
	})
	for _, h := range s.Hosts {
		if h.ID == s.Self.ID {
			continue
		}
		t.AppendRow(table.Row{
			h.ID, h.FailureDomain, h.State, h.ConfigRevision, h.HostListRevision, ageOf(h.AgeMS),
		})
	}
	t.SetCaption("%s", strings.Join([]string{
		documentText("configuration", &s.Config), documentText("host list", &s.HostList),
		fmt.Sprintf("%d queries in flight, up %s, leaving targets: %v", s.InflightQueries, ageOf(s.UptimeMS), s.LeavingTargets),
	}, "\n"))
}

func documentText(what string, d *adminapi.DocumentFact) string {
	text := fmt.Sprintf("%s %d (%s) from %s, in force for %s, platform read %s ago",
		what, d.Revision, d.Digest, d.Source, ageOf(d.AgeMS), ageOf(d.PlatformAgeMS))
	if r := d.Rejected; r != nil {
		text += fmt.Sprintf("\n%s %d was REJECTED %s ago: %s", what, r.Revision, ageOf(r.AgeMS), r.Reason)
	}
	return text
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
