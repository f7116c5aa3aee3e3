// Package daemon wires the roles of one host into a process and starts and
// stops them in order.
//
// Components are built by samber/do; the order in which they start and stop is
// written out in daemon.go and stop.go, since it carries promises: a host announces
// that it leaves before it refuses work, and it gives up its links last.
//
// Goroutines: one for each control loop (fleet, claims, quarantine) and for the
// administration listener, and one while every host is asked for its state. None
// of them serves a query.
package daemon
