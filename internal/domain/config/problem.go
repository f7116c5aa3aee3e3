package config

import (
	"fmt"
	"strings"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Problem is one error in a document.
type Problem struct {
	// Path is the document key followed by the path of the value within it.
	Path string `json:"path"`
	// Value is the invalid value, truncated to a bounded length.
	Value string `json:"value,omitempty"`
	// Allowed describes the values that are allowed.
	Allowed string `json:"allowed"`
}

// String returns the problem on one line.
func (p Problem) String() string {
	if p.Value == "" {
		return fmt.Sprintf("%s: %s", p.Path, p.Allowed)
	}
	return fmt.Sprintf("%s: have %s: %s", p.Path, p.Value, p.Allowed)
}

// InvalidError lists all problems of a document, sorted by path.
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

// maxShownValue bounds the length in bytes of a Problem's Value.
const maxShownValue = 80

// formatValue formats v for a Problem's Value and truncates it to maxShownValue.
func formatValue(v any) string {
	text := fmt.Sprint(v)
	if s, ok := v.(string); ok {
		text = fmt.Sprintf("%q", s)
	}
	if len(text) > maxShownValue {
		text = text[:maxShownValue] + "..."
	}
	return text
}
