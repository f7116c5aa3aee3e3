package settings

import (
	"reflect"
	"strings"
)

// Key describes one setting.
type Key struct {
	// Path is the key's path, such as limits.drain_ms.
	Path string
	// Default is the value used if the key is left out; empty means that there is
	// none.
	Default string
	// Required is set if the key can't be left out.
	Required bool
	// Allowed describes the allowed values.
	Allowed string
	// Doc describes the purpose of the key.
	Doc string

	// check is the validator's tag of the key.
	check string
	// index is the position of the key's field in Settings.
	index []int
}

// Section describes one table of a settings file.
type Section struct {
	Name string
	Doc  string
	Keys []Key
}

// Reference returns the descriptions of all settings, in the order of the file.
func Reference() []Section {
	defaults := reflect.ValueOf(Defaults()).Elem()
	var sections []Section
	for _, field := range reflect.VisibleFields(defaults.Type()) {
		name := field.Tag.Get("toml")
		if name == "-" {
			continue
		}
		sections = append(sections, Section{Name: name, Doc: field.Tag.Get("doc"), Keys: keysOf(name, field.Index, defaults)})
	}
	return sections
}

func keysOf(section string, parent []int, defaults reflect.Value) []Key {
	table := defaults.FieldByIndex(parent)
	var keys []Key
	for _, field := range reflect.VisibleFields(table.Type()) {
		check := field.Tag.Get("validate")
		key := Key{
			Path:     section + "." + field.Tag.Get("toml"),
			Required: strings.HasPrefix(check, "required"),
			Allowed:  field.Tag.Get("allowed"),
			Doc:      field.Tag.Get("doc"),
			check:    check,
			index:    append(append([]int{}, parent...), field.Index...),
		}
		if value := table.FieldByIndex(field.Index); !value.IsZero() {
			key.Default = formatValue(value.Interface())
		}
		keys = append(keys, key)
	}
	return keys
}

// allowedFor returns the description of the allowed values of the key at path.
func allowedFor(path string) string {
	for _, section := range Reference() {
		for _, key := range section.Keys {
			if key.Path == path {
				return key.Allowed
			}
		}
	}
	return ""
}
