package config

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// checker checks values by their validate tags. It is safe for concurrent use.
var checker = newChecker()

func newChecker() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// validate reports values of v, a pointer to a struct, that are out of range.
func validate(path string, v any) []Problem {
	err := checker.Struct(v)
	failed, ok := errors.AsType[validator.ValidationErrors](err)
	if !ok {
		if err != nil {
			return []Problem{{Path: path, Allowed: err.Error()}}
		}
		return nil
	}
	found := make([]Problem, 0, len(failed))
	for _, f := range failed {
		_, within, _ := strings.Cut(f.Namespace(), ".")
		found = append(found, Problem{Path: path + "." + within, Value: show(f.Value()), Allowed: allowed(f)})
	}
	return found
}

// allowed says in words what a failed tag demands.
func allowed(f validator.FieldError) string {
	sized := ""
	switch f.Kind() {
	case reflect.String:
		sized = " characters"
	case reflect.Slice, reflect.Map:
		sized = " entries"
	}
	switch f.Tag() {
	case "required":
		return "must not be empty"
	case "min":
		return "must be at least " + f.Param() + sized
	case "max":
		return "must be at most " + f.Param() + sized
	case "gtefield":
		return "must not be below " + f.Param()
	case "unique":
		return "must not repeat an entry"
	case "oneof":
		return "must be one of " + f.Param()
	case "hostname_port":
		return "must be host:port"
	case "datetime":
		return "must be a date like " + f.Param()
	}
	return "must satisfy " + f.Tag() + "=" + f.Param()
}
