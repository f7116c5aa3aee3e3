// Package catalogshare distributes the store's entries from the hosts that read
// the store to those that don't, so that the number of store calls doesn't grow
// with the fleet.
//
// The hosts listed as seeds, called readers, read the store. Every other host is
// a follower: it keeps one WebSocket link to one reader and receives CBOR
// messages on it. A host without a link, or whose reader's data is stale, calls
// the store itself. The links also carry host counts, crash reports, health samples of
// targets, the ends of their pauses and, where a service bounds the requests to its cold
// targets, questions about the hosts that may send to these.
//
// A Hub runs one goroutine that sends heartbeats and two for each link; a Source
// runs one while it dials or has a link and, on a reader, two for each other reader
// that it observes.
package catalogshare
