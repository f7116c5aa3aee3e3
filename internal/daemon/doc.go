// Package daemon wires the roles of one host into a process and starts and
// stops them in order.
//
// Components are built by samber/do; the order in which they start and stop is
// written out in lifecycle.go, since it carries promises: a host announces that
// it leaves before it refuses work, and it gives up its links last.
package daemon
