package capacity

import (
	"fmt"
	"io"
	"slices"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/samber/lo"
)

// Render writes the extrapolation to size and the measured slopes as Markdown
// tables.
func Render(w io.Writer, size *Size, s *Slopes) {
	roles := table.NewWriter()
	roles.AppendHeader(table.Row{"role", "quantity", "measured here", "at the design size", "bound", "fits", "mechanism"})
	for _, r := range Rows(size, s) {
		roles.AppendRow(table.Row{r.Role, r.Quantity, r.Measured, r.AtSize, r.Bound, r.Fits, r.Mechanism})
	}
	fleets := table.NewWriter()
	fleets.AppendHeader(table.Row{"members", "µs/s a member", "B/s a member", "messages/s a member", "watching the platform", "memory a member", "last in force, slowest of 20, ms"})
	for _, f := range s.Fleet {
		fleets.AppendRow(table.Row{
			f.Members, fmt.Sprintf("%.0f", f.CPUUS), fmt.Sprintf("%.0f", f.Bytes), fmt.Sprintf("%.1f", f.Messages),
			f.Watchers, bytesText(f.HeapBytes), fmt.Sprintf("%.0f", f.InForceMS),
		})
	}
	queries := table.NewWriter()
	queries.AppendHeader(table.Row{"shards a query", "µs a sub-request"})
	shards := lo.Keys(s.SubrequestUS)
	slices.Sort(shards)
	for _, n := range shards {
		queries.AppendRow(table.Row{n, fmt.Sprintf("%.2f", s.SubrequestUS[n])})
	}
	_, _ = fmt.Fprintf(w, "%s\n\n%s\n\n%s\n", roles.RenderMarkdown(), fleets.RenderMarkdown(), queries.RenderMarkdown())
}
