package settings

import (
	"fmt"
	"strings"
)

// FieldError is one bad key of a settings file.
type FieldError struct {
	// Path is the key's path, such as limits.drain_ms.
	Path string
	// Value is the value found, "<missing>" for none. Secrets are never shown.
	Value string
	// Allowed says what the key may be.
	Allowed string
}

// Error implements error.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s = %s: allowed: %s", e.Path, e.Value, e.Allowed)
}

// Errors is every bad key of a settings file, in order of path.
type Errors []*FieldError

// Error implements error; each key has a line.
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
