package main

import "fmt"

// failureMode is how a test listed in KNOWN-RED.txt fails.
type failureMode int

const (
	// failsAlways means that the test must fail: a pass means that its entry is
	// out of date.
	failsAlways failureMode = iota
	// failsAtTimes means that the test is flaky: it may pass or fail, but must
	// run.
	failsAtTimes
)

// parseFailureMode reads the value of an entry's "fails" line.
func parseFailureMode(value string) (failureMode, error) {
	switch value {
	case "always":
		return failsAlways, nil
	case "at times":
		return failsAtTimes, nil
	default:
		return failsAlways, fmt.Errorf("fails: %q is neither \"always\" nor \"at times\"", value)
	}
}
