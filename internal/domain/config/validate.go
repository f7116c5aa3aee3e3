package config

import (
	"errors"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
)

// structValidator validates structs by their validate tags. It is safe for concurrent use.
var structValidator = newStructValidator()

func newStructValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(jsonName)
	return v
}

// validate reports the values of v, a pointer to a struct, that violate their
// validate tags.
func validate(path string, v any) []Problem {
	err := structValidator.Struct(v)
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
		found = append(found, Problem{Path: path + "." + within, Value: formatValue(f.Value()), Allowed: describeConstraint(f)})
	}
	return found
}

// describeConstraint describes the constraint of a failed validate tag.
func describeConstraint(f validator.FieldError) string {
	unit := ""
	switch f.Kind() {
	case reflect.String:
		unit = " characters"
	case reflect.Slice, reflect.Map:
		unit = " entries"
	}
	switch f.Tag() {
	case "required":
		return "must not be empty"
	case "min":
		return "must be at least " + f.Param() + unit
	case "max":
		return "must be at most " + f.Param() + unit
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
