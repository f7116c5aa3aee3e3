package exitcode

import "errors"

// Error is an error with the exit code of the failed command.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// With attaches code to err; a nil err stays nil.
func With(code Code, err error) error {
	if err == nil {
		return nil
	}
	return &Error{Code: code, Err: err}
}

// Of returns the exit code that err carries: OK for nil and Failure for an
// error that carries none.
func Of(err error) Code {
	if err == nil {
		return OK
	}
	if e, ok := errors.AsType[*Error](err); ok {
		return e.Code
	}
	return Failure
}
