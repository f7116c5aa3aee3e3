// Package claimmodel is a model checker for the claim protocol. It explores every
// interleaving of a small fleet that claims one request id, with the same rules
// code as the claim service.
//
// Messages in flight may be delivered in any order, twice, or never, which covers
// delay, loss and partitions. Processes crash, restart without state, pause, and
// receive a new host list at any time or never. Time advances in fixed jumps.
// Explore stops at the first state that violates an invariant and returns the
// shortest trace to it.
package claimmodel
