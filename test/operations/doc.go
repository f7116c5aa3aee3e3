// Package operations tests that the operators' pages match the code.
package operations
