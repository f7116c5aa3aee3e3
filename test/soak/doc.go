// Package soak runs hosts as separate processes against stand-ins for the users'
// store and targets. It injects faults chosen by a random seed from outside of the
// hosts, and checks the tier's guarantees against what callers and targets recorded.
//
// To run many seeds by hand:
//
//	go test ./test/soak -run Fresh -soak.runs 50 -soak.seed 1000 -timeout 60m
//
// seeds_test.go keeps every seed that has failed, with the cause of the failure.
package soak
