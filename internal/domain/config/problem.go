package config

import (
	"fmt"
	"strings"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Problem is one thing that is wrong with a document.
type Problem struct {
	// Path is the document key, and the path of the value within it.
	Path string `json:"path"`
	// Value is the offending value in JSON, cut if it is long.
	Value string `json:"value,omitempty"`
	// Allowed says what the value must be.
	Allowed string `json:"allowed"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: have %s: %s", p.Path, p.Value, p.Allowed)
}

// InvalidError lists all that is wrong with a document, in order of path.
type InvalidError struct {
	Revision model.Revision
	Problems []Problem
}

// Error implements error.
func (e *InvalidError) Error() string {
	lines := make([]string, len(e.Problems))
	for i, p := range e.Problems {
		lines[i] = p.String()
	}
	return fmt.Sprintf("config: revision %d is invalid: %s", e.Revision, strings.Join(lines, "; "))
}

// maxShownValue bounds the values shown in problems, in bytes.
const maxShownValue = 80

// show returns v for a Problem's Value.
func show(v any) string {
	text := fmt.Sprint(v)
	if s, ok := v.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + "..."
	}
	return text
}
