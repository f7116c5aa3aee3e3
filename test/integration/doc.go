// Package integration tests the programs as real processes on loopback: a platform,
// targets and hosts, with faults injected into them and into their connections.
package integration
