// Package gatherlink passes requests from the host that a caller reached to another host, and
// the answer back: sweeps to gatherers, which have warm connections to all targets
// (Client.Sweep), and any request of a host that can't reach the targets to one that can
// (Client.HandOver).
//
// A Client keeps WebSocket links with CBOR frames to a few hosts; a Server accepts them. The
// other host accepts a request at once or refuses it, before it sends anything to a target; one
// that can't reach the targets itself refuses all. Only idempotent requests that may have run
// are passed on again, within a bound on the extra load. A request that was passed on is never
// passed on by the host that got it.
//
// A Client runs one goroutine that maintains links and one for each link; a Server runs
// two for each link and one for each request.
package gatherlink
