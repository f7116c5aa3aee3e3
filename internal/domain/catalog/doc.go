// Package catalog defines a host's view of the published configuration and the
// targets: routes, services, limits and which targets serve each service. Its
// types are immutable once they are in a View; the package does no I/O and starts
// no goroutines.
package catalog
