// Package quarantine keeps requests that crash targets from being run again and
// again.
//
// A target that dies while it runs a request leaves a crash note against the
// request's fingerprint; the notes spread to every host. After one note the
// request is a suspect: it runs on one target at a time, fleet-wide, and a later
// success clears it. After two it is quarantined: refused at once on every host,
// until the quarantine expires or an operator releases it.
//
// One goroutine owns the table and publishes an immutable copy that traffic
// reads without locks.
package quarantine
