// Package reach decides whether a host has lost its links to targets, and whether another
// host should serve its requests meanwhile.
//
// It answers the load of callers whose host can't reach the targets while other hosts can. A
// target that one host doesn't reach may be down, or the host may be cut off; the two are told
// apart by the share of all targets that a host doesn't reach (Counts), compared with that of
// the other host (Better). A host that only lost targets which are down loses them like all
// others, and passes nothing on.
//
// The package does no I/O and starts no goroutines; the time is an argument.
package reach
