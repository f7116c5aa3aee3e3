// Package faultproxy forwards TCP connections and injects faults into them, for
// tests. It knows nothing of what the bytes mean.
package faultproxy

import "time"

// Flow says what happens to the bytes in one direction.
type Flow struct {
	// Delay is added to each chunk of bytes.
	Delay time.Duration
	// Hold keeps bytes back until a later rule lets them pass, as a network that
	// drops packets and heals does.
	Hold bool
}

// Rule says what happens to a link.
type Rule struct {
	// ToServer and ToClient are the two directions of a link.
	ToServer Flow
	ToClient Flow
	// Refuse resets new connections.
	Refuse bool
}

// Blackhole is a rule that holds both directions.
func Blackhole() Rule { return Rule{ToServer: Flow{Hold: true}, ToClient: Flow{Hold: true}} }

// Delay is a rule that delays both directions by d.
func Delay(d time.Duration) Rule { return Rule{ToServer: Flow{Delay: d}, ToClient: Flow{Delay: d}} }
