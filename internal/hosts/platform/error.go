package platform

import "fmt"

// ErrorKind tells apart the ways in which a call to the platform fails.
type ErrorKind string

// The kinds of error.
const (
	// Unreachable means that the call got no response.
	Unreachable ErrorKind = "unreachable"
	// BadStatus means that the platform responded with an error status.
	BadStatus ErrorKind = "bad_status"
	// TooLarge means that the response or one of its values passes the limit.
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
	// Key is the document's key that is to blame, if one is.
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
