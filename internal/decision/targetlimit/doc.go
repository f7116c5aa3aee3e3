// Package targetlimit decides how many requests a host may send to a target that limits
// the rate that it takes from all hosts together.
//
// It answers the load of many hosts that each send a target little and together send it more
// than it takes. There is no common count of requests, so each host gets a part of the limit:
// its part of the demand for the target's service, which hosts report to each other (Fleet),
// or an equal part while the demand of the others is unknown (Share). Within its part a host
// sends evenly (Bucket), so that what all hosts send in a few seconds is bounded too.
//
// The package does no I/O and starts no goroutines; the time is an argument.
package targetlimit
