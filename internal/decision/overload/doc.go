// Package overload decides which requests a host admits while the targets of a group
// can't serve all that callers ask for.
//
// It addresses a load of several times the capacity, at which requests that are all
// admitted wait for each other until most are late. Admission is unlimited until
// requests are late because of queueing. Then a rate is admitted that follows what is
// served in time, divided by rank, by the failure domains of the hosts that callers
// reached and between first attempts and attempts after a refusal. Targets that are
// slow, silent or dead without a queue don't lead to a limit.
//
// The package does no I/O, starts no goroutines and takes the time as an argument. Its
// types are not safe for concurrent use.
package overload
