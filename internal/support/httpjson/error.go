package httpjson

// NotSentError means that no byte of a request left this process.
type NotSentError struct {
	Err error
}

// Error implements error.
func (e *NotSentError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *NotSentError) Unwrap() error { return e.Err }
