package settings

import (
	"fmt"
	"strings"
)

// Markdown returns the reference of all settings as Markdown tables.
func Markdown() string {
	var out strings.Builder
	for _, section := range Reference() {
		fmt.Fprintf(&out, "## [%s]: %s\n\n", section.Name, section.Doc)
		out.WriteString("| key | default | allowed | meaning |\n|---|---|---|---|\n")
		for _, key := range section.Keys {
			fmt.Fprintf(&out, "| `%s` | %s | %s | %s |\n", strings.TrimPrefix(key.Path, section.Name+"."), key.defaultText(), key.Allowed, key.Doc)
		}
		out.WriteString("\n")
	}
	return out.String()
}

// defaultText returns the key's entry in the default column of the reference.
func (k *Key) defaultText() string {
	switch {
	case k.Required:
		return "required"
	case k.Default == "":
		return "empty"
	default:
		return "`" + k.Default + "`"
	}
}
