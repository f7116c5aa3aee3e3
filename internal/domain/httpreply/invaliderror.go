package httpreply

import (
	"errors"
	"fmt"
)

// shownBytes is how much of invalid bytes an error shows.
const shownBytes = 40

// InvalidError reports bytes that are no reply in the protocol.
type InvalidError struct {
	// Detail names the part that is invalid.
	Detail string
}

// Error implements error.
func (e *InvalidError) Error() string { return "no valid HTTP reply: " + e.Detail }

// IsInvalid reports whether err's chain has an InvalidError.
func IsInvalid(err error) bool {
	_, ok := errors.AsType[*InvalidError](err)
	return ok
}

// invalid returns the error for a part of a reply.
func invalid(part string, value []byte) error {
	return &InvalidError{Detail: fmt.Sprintf("%s %q", part, value[:min(len(value), shownBytes)])}
}
