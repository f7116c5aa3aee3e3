// Package catalog holds what a host knows of the published configuration and
// of the targets: routes, services, limits and who serves what. Its types are
// immutable once they are in a View; nothing here does I/O or has goroutines.
package catalog
