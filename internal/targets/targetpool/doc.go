// Package targetpool keeps connections to targets and exchanges requests over
// them.
//
// A Pool serves one start of one target; a target that restarts gets a new pool.
// Each connection has one goroutine, which reads replies. A request is written by
// the goroutine that submits it or by the one that releases a connection. A
// connection carries one request at a time. The pool sends each request once and
// never retries it. The targets that a host connects to depend on the size and the
// failure domains of the fleet that shares them (Fleet).
package targetpool
