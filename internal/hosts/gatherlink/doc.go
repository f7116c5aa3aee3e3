// Package gatherlink passes sweeps from the host that a caller reached to a gatherer,
// which has warm connections to all targets, and the answer back.
//
// A Client keeps WebSocket links with CBOR frames to a few gatherers; a Server accepts
// them. A gatherer accepts a sweep at once or refuses it, before it sends anything to a
// target. Only idempotent sweeps are passed on, so that a lost one may be passed on
// again, within a bound on the extra load.
//
// A Client runs one goroutine that maintains links and one for each link; a Server runs
// two for each link and one for each sweep.
package gatherlink
