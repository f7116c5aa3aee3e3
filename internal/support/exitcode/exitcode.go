// Package exitcode defines the exit codes of swiftvaned and swiftvanectl.
package exitcode

// Code is a process exit code.
type Code int

// The exit codes. The first three are shared by both programs.
const (
	// OK means success; for the daemon, a stop that left no request unfinished.
	OK Code = 0
	// Failure means that something failed while running.
	Failure Code = 1
	// Usage means bad settings, flags or arguments; nothing was started.
	Usage Code = 2
	// NotRun means that a query was refused and did not run.
	NotRun Code = 3
	// Unknown means that a query failed and may have run.
	Unknown Code = 4
	// Ran means that a query ran but gave no usable answer.
	Ran Code = 5
	// Timeout means that a wait ended before its condition was met.
	Timeout Code = 6
	// Invalid means that a checked document has errors, or that two compared
	// documents differ.
	Invalid Code = 7
	// Forced means that the daemon ended with requests still in flight, after a
	// second signal or once its drain limit had passed.
	Forced Code = 8
)
