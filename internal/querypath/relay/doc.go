// Package relay serves callers' requests from targets: it matches the route,
// chooses targets, hedges, retries, merges the replies of a sweep and reports why
// a request failed.
//
// A request runs on the goroutine that calls Executor.Serve, which receives the
// outcomes of its attempts from a channel. The package starts no goroutines.
// Decisions take the current time as an argument.
package relay
