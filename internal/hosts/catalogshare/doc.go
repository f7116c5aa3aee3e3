// Package catalogshare passes the store's entries from the hosts that read it to
// those that don't, so that the calls to the store don't grow with the fleet.
//
// The hosts that the seeds name read the store; each other host keeps one
// WebSocket link to one of them, on which CBOR messages come. A host without a
// fresh link calls the store itself. The links also carry the number of hosts,
// notes of requests that crash targets, and what hosts saw of targets. A Hub has one goroutine that sends what
// keeps links alive and one for each link; a Source has one while it dials or
// has a link.
package catalogshare
