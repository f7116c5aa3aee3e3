// Package relay serves callers' requests from targets: it matches the route,
// chooses targets, hedges, retries, merges the parts of a sweep and says how a
// request failed.
//
// A request is served on its caller's goroutine, which waits for targets'
// outcomes on a channel; the package has no goroutines of its own. The
// decisions are functions of their inputs and the time.
package relay
