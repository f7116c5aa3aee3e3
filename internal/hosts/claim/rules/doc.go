// Package rules holds the decisions of the at-most-once protocol as pure state
// machines: inputs are messages and a given time, outputs are answers. It has no
// clock, no goroutine and no I/O, so that the service and the model that proves
// the rules run the same code.
package rules
