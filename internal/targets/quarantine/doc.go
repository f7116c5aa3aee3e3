// Package quarantine limits how often a request that crashes targets is run again.
//
// When a target crashes while it runs a request, the host records a crash note for
// the request's fingerprint, and the note spreads to all hosts. After one note the
// request is a suspect: on the shard of the crash it runs on one target at a time,
// fleet-wide, and a later success there clears it. After two notes within
// SuspicionTime it is quarantined: every host refuses it until the quarantine
// expires or an operator releases it.
//
// One goroutine owns the table of records and publishes an immutable copy that the
// query path reads without locks.
package quarantine
