// Package soak runs hosts as separate processes against stand-ins of the users'
// store and targets, injects faults from outside of them by a seed, and checks
// the promises from what callers and targets saw.
//
// By hand, many seeds:
//
//	go test ./test/soak -run Fresh -soak.runs 50 -soak.seed 1000 -timeout 60m
//
// A seed that ever failed is kept in seeds_test.go with its cause.
package soak
