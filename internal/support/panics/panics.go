// Package panics turns the panics of decoders into errors.
//
// A decoder reads what came from outside the process, holds no lock and shares no state, so a fault
// in it concerns one message. Panics elsewhere end the process: state that all requests share may be
// locked or half changed then.
package panics

import (
	"errors"
	"fmt"
	"runtime/debug"
)

// Error is the error of a decoder that panicked.
type Error struct {
	// Value is the argument of the panic.
	Value any
	// Stack is the stack of the goroutine at the panic.
	Stack []byte
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("the decoder panicked: %v\n%s", e.Value, e.Stack) }

// Is reports whether err is that of a decoder which panicked.
func Is(err error) bool {
	_, ok := errors.AsType[*Error](err)
	return ok
}

// Catch sets the error of a function that panics, and so ends the panic. The function must defer it.
func Catch(err *error) {
	if value := recover(); value != nil {
		*err = &Error{Value: value, Stack: debug.Stack()}
	}
}
