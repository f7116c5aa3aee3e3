// Package targetpool keeps connections to targets and exchanges requests over
// them.
//
// A Pool belongs to one start of one target. Each connection has one goroutine,
// which reads; requests are written by whoever submits them or by the goroutine
// that frees a connection. A connection carries one request at a time, each
// request is sent once, and whether to send it again is not decided here. Which
// targets a host is connected to follows from the fleet that shares them (Fleet).
package targetpool
