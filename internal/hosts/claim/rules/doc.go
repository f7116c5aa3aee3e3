// Package rules implements the decisions of the at-most-once protocol as pure
// state machines: the inputs are messages and the current time, the outputs are
// answers. It has no clock, goroutines or I/O, so that the service and the model
// checker in package claimmodel run the same code.
package rules
