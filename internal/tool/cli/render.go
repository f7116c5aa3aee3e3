package cli

import (
	"encoding/json"
	"fmt"

	"github.com/jedib0t/go-pretty/v6/table"
)

// render writes value as JSON, or the table that draw fills, depending on the
// output format.
func (o *options) render(value any, draw func(table.Writer)) error {
	if o.output == outputJSON {
		encoder := json.NewEncoder(o.streams.Out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(value)
	}
	t := table.NewWriter()
	t.SetStyle(table.StyleLight)
	draw(t)
	_, err := fmt.Fprintln(o.streams.Out, t.Render())
	return err
}
