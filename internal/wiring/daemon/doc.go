// Package daemon wires the roles of one host into a process and starts and
// stops them in order.
//
// Components are built by samber/do. The order in which they start and stop is
// spelled out in daemon.go and stop.go, because other hosts depend on it: a host
// announces that it is leaving before it refuses work, and closes its links last.
//
// The daemon runs one goroutine for each control loop (fleet, claims,
// quarantine), one for the administration listener, and one while it polls the
// status of all hosts. None of them serves queries.
package daemon
