// Package overload decides which requests a host admits while the targets of a group
// can't serve all that callers ask for.
//
// It addresses a load of several times the capacity, at which requests that are all
// admitted wait for each other until most are late. Admission is unlimited until most
// requests are late because of queueing. Then the requests in flight are limited, counted
// by their work, and the limit follows the share of late results. Less urgent requests give
// way to more urgent ones. A limit on what is in flight admits the next request when one
// ends, so unlike a limit on a rate it can't fall below what the targets serve one after
// the other. Targets that are slow, silent or dead without a queue don't lead to a limit.
//
// The package does no I/O, starts no goroutines and takes the time as an argument. Its
// types are not safe for concurrent use.
package overload
