// Package faultproxy forwards TCP connections and injects faults into them, for
// tests. It does not interpret the bytes that it forwards.
package faultproxy

import "time"

// Flow describes the faults in one direction of a link.
type Flow struct {
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// Hold keeps bytes back until a later rule releases them, like a network that
	// drops packets for a while and then recovers.
	Hold bool
}

// Rule describes the faults of a link.
type Rule struct {
	// ToServer and ToClient are the two directions of a link.
	ToServer Flow
	ToClient Flow
	// Refuse resets new connections. It applies only in the proxy's own rule.
	Refuse bool
}

// Blackhole returns a rule that holds both directions.
func Blackhole() Rule { return Rule{ToServer: Flow{Hold: true}, ToClient: Flow{Hold: true}} }

// Delay returns a rule that delays both directions by d.
func Delay(d time.Duration) Rule { return Rule{ToServer: Flow{Delay: d}, ToClient: Flow{Delay: d}} }
