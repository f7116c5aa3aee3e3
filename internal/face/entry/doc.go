// Package entry serves the tier's API for callers: HTTP and JSON under /v1/.
//
// It decodes and checks a query, admits it, claims its request id if the query
// must not run more than once, executes it and writes the answer. Every refusal is
// sent immediately and has a verdict, a reason and, if a retry can help, a
// Retry-After. The package makes no decisions about shards, replicas or targets.
//
// Goroutines: one per request, owned by the HTTP library. A handler never waits
// past its query's deadline and reads control state only through a view.
package entry
