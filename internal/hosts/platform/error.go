package platform

import "fmt"

// ErrorKind classifies the failures of a call to the platform.
type ErrorKind string

// The kinds of error.
const (
	// Unreachable means that the call got no response.
	Unreachable ErrorKind = "unreachable"
	// BadStatus means that the platform responded with an error status.
	BadStatus ErrorKind = "bad_status"
	// TooLarge means that the response or one of its values exceeds its limit.
	TooLarge ErrorKind = "too_large"
	// Malformed means that the response could not be decoded.
	Malformed ErrorKind = "malformed"
)

// Error is returned by HTTPClient.
type Error struct {
	Kind ErrorKind
	// Path is the path of the call.
	Path string
	// Status is the HTTP status, set for BadStatus.
	Status int
	// Key is the key of the document whose value caused the error, if any.
	Key   string
	Cause error
}

// Error implements error.
func (e *Error) Error() string {
	text := fmt.Sprintf("platform: GET %s: %s", e.Path, e.Kind)
	if e.Status != 0 {
		text += fmt.Sprintf(" %d", e.Status)
	}
	if e.Key != "" {
		text += fmt.Sprintf(" at key %q", e.Key)
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }
