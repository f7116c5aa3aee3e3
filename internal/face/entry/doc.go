// Package entry is the tier's face towards callers: HTTP and JSON under /v1/.
//
// It decodes and checks a query, admits it, claims its request id where the
// query must not repeat, has it executed and writes the one answer. Every
// refusal leaves at once and carries a verdict, a reason and, where asking again
// can help, a Retry-After. The package decides nothing about shards, replicas or
// targets.
//
// Goroutines: one per request, owned by the HTTP library. A handler never waits
// past its query's deadline and never reads control state but through a view.
package entry
