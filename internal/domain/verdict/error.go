package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error is the final outcome of a request that was refused or failed.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Field is the path of the offending input, empty if none is to blame.
	Field string
	// Message is for the caller; it names the limit where there is one.
	Message string
	// RetryAfter is when the caller may ask again; zero means that asking again
	// unchanged does not help.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s (%s): %s: %s", e.Reason, e.Verdict, e.Field, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// Refuse returns an Error for a request that did not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// RefuseField returns an Error for bad input in field. The request did not run
// and asking again unchanged does not help.
func RefuseField(reason Reason, field, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict that err carries, and Unknown if it carries none.
func Of(err error) Verdict {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return Unknown
}
