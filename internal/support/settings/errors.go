package settings

import (
	"fmt"
	"strings"
)

// FieldError is the error of one key of a settings file.
type FieldError struct {
	// Path is the key's path, such as limits.drain_ms.
	Path string
	// Value is the value found, or "<missing>". It never contains a secret.
	Value string
	// Allowed describes the allowed values.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s = %s: allowed: %s", e.Path, e.Value, e.Allowed)
}

// Errors holds the errors of all bad keys of a settings file, sorted by path.
type Errors []*FieldError

// Error implements error. The text has one line for each key.
func (e Errors) Error() string {
	lines := make([]string, len(e))
	for i, field := range e {
		lines[i] = field.Error()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the keys' errors.
func (e Errors) Unwrap() []error {
	all := make([]error, len(e))
	for i, field := range e {
		all[i] = field
	}
	return all
}
