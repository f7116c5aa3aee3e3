// Package integration tests the programs as real processes: a platform, targets
// and hosts on loopback, with faults between and inside them.
package integration
