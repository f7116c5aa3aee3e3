package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
)

// missing is shown as the value of a key that the file does not have.
const missing = "<missing>"

// decoder sets and checks each key separately, so that one bad key does not hide
// the errors of others.
type decoder struct {
	settings *Settings
	validate *validator.Validate
	errs     Errors
}

func newDecoder() *decoder {
	return &decoder{settings: Defaults(), validate: newValidator()}
}

// fail records the error of a key.
func (d *decoder) fail(path, value, allowed string) {
	d.errs = append(d.errs, &FieldError{Path: path, Value: value, Allowed: allowed})
}

func (d *decoder) decode(tree map[string]any) {
	sections := Reference()
	names := lo.Map(sections, func(s Section, _ int) string { return s.Name })
	for name, value := range tree {
		if !lo.Contains(names, name) {
			d.fail(name, formatValue(value), "no such table; there are "+strings.Join(names, ", "))
		}
	}
	for _, section := range sections {
		d.decodeSection(section, tree)
	}
}

func (d *decoder) decodeSection(section Section, tree map[string]any) {
	value, present := tree[section.Name]
	table, isTable := value.(map[string]any)
	if present && !isTable {
		d.fail(section.Name, formatValue(value), "a table")
		return
	}
	for name, value := range table {
		path := section.Name + "." + name
		if !lo.ContainsBy(section.Keys, func(k Key) bool { return k.Path == path }) {
			d.fail(path, formatValue(value), "no such key; see the reference of settings")
		}
	}
	for _, key := range section.Keys {
		value, present := table[strings.TrimPrefix(key.Path, section.Name+".")]
		d.decodeKey(key, value, present)
	}
}

func (d *decoder) decodeKey(key Key, value any, present bool) {
	field := reflect.ValueOf(d.settings).Elem().FieldByIndex(key.index)
	if !present {
		if key.Required {
			d.fail(key.Path, missing, key.Allowed)
		}
		return
	}
	if problem := assign(field, value); problem != "" {
		d.fail(key.Path, formatValue(value)+problem, key.Allowed)
		return
	}
	if text, ok := value.(string); ok && isPlaceholder(text) {
		d.fail(key.Path, formatValue(value)+" (a placeholder)", key.Allowed)
		return
	}
	if err := d.validate.Var(field.Interface(), key.check); err != nil {
		d.fail(key.Path, formatValue(value), key.Allowed)
	}
}

// assign sets field to a value of the TOML decoder. It returns what is wrong with
// the value, or "" if it was set.
func assign(field reflect.Value, value any) (problem string) {
	switch target := field.Addr().Interface().(type) {
	case *[]string:
		list, ok := toStrings(value)
		if !ok {
			return " (not a list of strings)"
		}
		*target = list
	case *[]Seed:
		return assignSeeds(target, value)
	case *int:
		number, ok := value.(int64)
		if !ok {
			return " (not an integer)"
		}
		*target = int(number)
	default:
		text, ok := value.(string)
		if !ok {
			return " (not a string)"
		}
		field.SetString(text)
	}
	return ""
}

func assignSeeds(target *[]Seed, value any) (problem string) {
	list, ok := toStrings(value)
	if !ok {
		return " (not a list of strings)"
	}
	for _, text := range list {
		seed, err := ParseSeed(text)
		if err != nil {
			return fmt.Sprintf(" (%v)", err)
		}
		*target = append(*target, seed)
	}
	return ""
}

// toStrings returns value as a list of strings, or false if it is not one.
func toStrings(value any) ([]string, bool) {
	items, ok := value.([]any)
	if !ok {
		return nil, false
	}
	list := make([]string, 0, len(items))
	for _, item := range items {
		text, ok := item.(string)
		if !ok {
			return nil, false
		}
		list = append(list, text)
	}
	return list, true
}

func quote(text string) string { return strconv.Quote(text) }

// formatValue returns value as it is written in a settings file.
func formatValue(value any) string {
	switch v := value.(type) {
	case string:
		return quote(v)
	case []any:
		return "[" + strings.Join(lo.Map(v, func(item any, _ int) string { return formatValue(item) }), ", ") + "]"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprint(v)
	}
}
