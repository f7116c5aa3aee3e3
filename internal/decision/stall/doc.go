// Package stall learns when targets pause periodically and predicts the next pauses.
//
// It answers the load of targets that stop for some 100 ms every few seconds, for
// example for the collection of garbage: a sweep over many shards meets such a pause
// nearly always, although another replica would answer at once. A Detector finds the
// ends of pauses in the replies of one target. A Learner finds the period, which the
// targets of a service or index share, and the phase of each target. A Pattern predicts.
//
// The package does no I/O, starts no goroutines and takes the time as an argument. All
// times are of one host's monotonic clock.
package stall
