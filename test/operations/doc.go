// Package operations holds the tests that keep the operators' pages and the code
// together.
package operations
