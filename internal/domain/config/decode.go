package config

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"reflect"
	"sort"
	"strings"
)

// object is a decoded JSON object that also records repeated names.
type object struct {
	names      []string
	values     map[string]any
	duplicates []string
}

// decodeStrict decodes raw into out, which must be a pointer. It reports all
// unknown, repeated and wrongly typed values and all missing fields of a Policy, not
// only the first.
func decodeStrict(path string, raw json.RawMessage, out any) []Problem {
	dec := json.NewDecoder(bytes.NewReader(raw))
	dec.UseNumber()
	tree, err := decodeTree(dec)
	if err == nil {
		if _, next := dec.Token(); !errors.Is(next, io.EOF) {
			err = errors.New("data after the value")
		}
	}
	if err != nil {
		return []Problem{{Path: path, Value: formatValue(string(raw)), Allowed: "must be one JSON value: " + err.Error()}}
	}
	var found []Problem
	checkType(path, tree, reflect.TypeOf(out).Elem(), &found)
	if len(found) > 0 {
		return found
	}
	if err := json.Unmarshal(raw, out); err != nil {
		return []Problem{{Path: path, Value: formatValue(string(raw)), Allowed: err.Error()}}
	}
	return nil
}

// decodeTree reads one JSON value.
func decodeTree(dec *json.Decoder) (any, error) {
	token, err := dec.Token()
	if err != nil {
		return nil, err
	}
	switch token {
	case json.Delim('{'):
		return decodeObject(dec)
	case json.Delim('['):
		return decodeArray(dec)
	}
	return token, nil
}

func decodeObject(dec *json.Decoder) (*object, error) {
	o := &object{values: make(map[string]any)}
	for dec.More() {
		token, err := dec.Token()
		if err != nil {
			return nil, err
		}
		name, _ := token.(string)
		value, err := decodeTree(dec)
		if err != nil {
			return nil, err
		}
		if _, ok := o.values[name]; ok {
			o.duplicates = append(o.duplicates, name)
		}
		o.names = append(o.names, name)
		o.values[name] = value
	}
	_, err := dec.Token()
	return o, err
}

func decodeArray(dec *json.Decoder) ([]any, error) {
	list := []any{}
	for dec.More() {
		value, err := decodeTree(dec)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	_, err := dec.Token()
	return list, err
}

// checkType reports the parts of value that do not match t.
func checkType(path string, value any, t reflect.Type, found *[]Problem) {
	switch t.Kind() {
	case reflect.Pointer:
		checkType(path, value, t.Elem(), found)
	case reflect.Struct:
		checkStruct(path, value, t, found)
	case reflect.Slice:
		list, ok := value.([]any)
		if !ok {
			wrongType(path, value, "must be a list", found)
			return
		}
		for i, element := range list {
			checkType(fmt.Sprintf("%s[%d]", path, i), element, t.Elem(), found)
		}
	case reflect.String:
		if _, ok := value.(string); !ok {
			wrongType(path, value, "must be a string", found)
		}
	case reflect.Bool:
		if _, ok := value.(bool); !ok {
			wrongType(path, value, "must be true or false", found)
		}
	default:
		checkNumber(path, value, t, found)
	}
}

func checkNumber(path string, value any, t reflect.Type, found *[]Problem) {
	number, ok := value.(json.Number)
	if !ok {
		wrongType(path, value, "must be a number", found)
		return
	}
	if err := json.Unmarshal([]byte(number), reflect.New(t).Interface()); err != nil {
		wrongType(path, value, "must be a number of type "+t.Kind().String(), found)
	}
}

func checkStruct(path string, value any, t reflect.Type, found *[]Problem) {
	o, ok := value.(*object)
	if !ok {
		wrongType(path, value, "must be an object", found)
		return
	}
	for _, name := range o.duplicates {
		*found = append(*found, Problem{Path: path + "." + name, Allowed: "must be given once"})
	}
	fields := jsonFields(t)
	for _, name := range o.names {
		field, known := fields[name]
		if !known {
			*found = append(*found, Problem{Path: path + "." + name, Value: formatValue(printable(o.values[name])), Allowed: "unknown key, allowed are " + fieldNames(fields)})
			continue
		}
		checkType(path+"."+name, o.values[name], field, found)
	}
	if t == reflect.TypeFor[Policy]() {
		requireAll(path, o, fields, found)
	}
}

// requireAll reports the fields that are missing in the object.
func requireAll(path string, o *object, fields map[string]reflect.Type, found *[]Problem) {
	for name := range fields {
		if _, ok := o.values[name]; !ok {
			*found = append(*found, Problem{Path: path + "." + name, Allowed: "must be given"})
		}
	}
}

func wrongType(path string, value any, allowed string, found *[]Problem) {
	*found = append(*found, Problem{Path: path, Value: formatValue(printable(value)), Allowed: allowed})
}

// printable returns value in a printable form.
func printable(value any) any {
	if _, ok := value.(*object); ok {
		return "{...}"
	}
	if value == nil {
		return "null"
	}
	return value
}

// jsonFields maps the JSON names of a struct's fields to their types.
func jsonFields(t reflect.Type) map[string]reflect.Type {
	fields := make(map[string]reflect.Type, t.NumField())
	for field := range t.Fields() {
		if name := jsonName(field); name != "" {
			fields[name] = field.Type
		}
	}
	return fields
}

// jsonName returns a field's JSON name, or "" if the field is not encoded.
func jsonName(field reflect.StructField) string {
	name, _, _ := strings.Cut(field.Tag.Get("json"), ",")
	if name == "-" || !field.IsExported() {
		return ""
	}
	return name
}

func fieldNames(fields map[string]reflect.Type) string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	sort.Strings(names)
	return strings.Join(names, ", ")
}
