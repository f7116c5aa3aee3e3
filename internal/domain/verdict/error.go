package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Error reports that a layer refused or failed a request. The caller's answer is made
// from the one that the outermost layer returns.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// Field is the path of the invalid input; empty if the error is not about a
	// single field.
	Field string
	// Message explains the outcome to the caller and names any limit involved.
	Message string
	// RetryAfter is the delay after which the caller may retry; zero gives no advice.
	RetryAfter time.Duration
}

// Error implements error.
func (e *Error) Error() string {
	if e.Field != "" {
		return fmt.Sprintf("%s (%s): %s: %s", e.Reason, e.Verdict, e.Field, e.Message)
	}
	return fmt.Sprintf("%s (%s): %s", e.Reason, e.Verdict, e.Message)
}

// Refuse returns an Error with verdict NotRun for a request that was not run.
func Refuse(reason Reason, retryAfter time.Duration, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, RetryAfter: retryAfter, Message: fmt.Sprintf(format, args...)}
}

// RefuseField returns an Error with verdict NotRun for invalid input in field. It
// has no RetryAfter, since retrying the same request does not help.
func RefuseField(reason Reason, field, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Field: field, Message: fmt.Sprintf(format, args...)}
}

// Of returns the verdict of the Error in err's chain, or Unknown if there is none.
func Of(err error) Verdict {
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Verdict
	}
	return Unknown
}
