package settings

import (
	"fmt"
	"reflect"
	"strconv"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/samber/lo"
)

// missing stands for the value of a key that was left out.
const missing = "<missing>"

// decoder sets and checks each key by itself, so that one bad key does not hide
// another.
type decoder struct {
	settings *Settings
	validate *validator.Validate
	errs     Errors
}

func newDecoder() *decoder {
	return &decoder{settings: Defaults(), validate: newValidator()}
}

func (d *decoder) fail(path, value, allowed string) {
	d.errs = append(d.errs, &FieldError{Path: path, Value: value, Allowed: allowed})
}

func (d *decoder) decode(tree map[string]any) {
	sections := Reference()
	names := lo.Map(sections, func(s Section, _ int) string { return s.Name })
	for name, value := range tree {
		if !lo.Contains(names, name) {
			d.fail(name, show(value), "no such table; there are "+strings.Join(names, ", "))
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
		d.fail(section.Name, show(value), "a table")
		return
	}
	for name, value := range table {
		path := section.Name + "." + name
		if !lo.ContainsBy(section.Keys, func(k Key) bool { return k.Path == path }) {
			d.fail(path, show(value), "no such key; see the reference of settings")
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
		d.fail(key.Path, show(value)+problem, key.Allowed)
		return
	}
	if text, ok := value.(string); ok && isPlaceholder(text) {
		d.fail(key.Path, show(value)+" (a placeholder)", key.Allowed)
		return
	}
	if err := d.validate.Var(field.Interface(), key.check); err != nil {
		d.fail(key.Path, show(value), key.Allowed)
	}
}

// assign sets field from a value of the TOML decoder, and returns what is wrong
// with the value's type.
func assign(field reflect.Value, value any) (problem string) {
	switch target := field.Addr().Interface().(type) {
	case *[]string:
		texts, ok := texts(value)
		if !ok {
			return " (not a list of strings)"
		}
		*target = texts
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
	list, ok := texts(value)
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

// texts returns value as a list of strings.
func texts(value any) ([]string, bool) {
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

// show returns value as it stands in a settings file.
func show(value any) string {
	switch v := value.(type) {
	case string:
		return quote(v)
	case []any:
		return "[" + strings.Join(lo.Map(v, func(item any, _ int) string { return show(item) }), ", ") + "]"
	case map[string]any:
		return "a table"
	default:
		return fmt.Sprint(v)
	}
}
