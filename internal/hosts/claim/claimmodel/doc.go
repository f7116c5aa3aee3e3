// Package claimmodel explores every interleaving of a small fleet that claims one
// request id, with the rules that the claim service runs.
//
// Messages wait in a set and may be delivered in any order, twice, or never,
// which covers delay, loss and partitions. Processes crash, restart with nothing
// remembered, pause, and learn of a new host list at any time or never. Time
// moves in jumps. Explore stops at the first state that breaks an invariant and
// returns the shortest way to it.
package claimmodel
