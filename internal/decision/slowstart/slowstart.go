// Package slowstart decides which share of its usual requests a target gets after it
// returns from an evacuation. It addresses the load of a whole failure domain that
// returns at once: its targets have no queue and look better than all others, so that
// every host would send them everything before their replies show how they do. The
// package does no I/O, starts no goroutines and takes times as arguments.
package slowstart

import (
	"math"
	"time"
)

const (
	// MinPeriod is the least time over which a target returns: the statistics of the
	// other targets need some seconds to follow the load.
	MinPeriod = 3 * time.Second
	// firstShare is the share at the start.
	firstShare = 0.05
)

// Period returns the time over which a target returns that is slow for warmUp after a
// start.
func Period(warmUp time.Duration) time.Duration { return max(warmUp, MinPeriod) }

// Withheld returns the share of requests, 0 to 1, that a target doesn't get the given
// time after its return. The share that it gets grows by the same factor in each part
// of the period, so that its queue never grows faster than its replies show.
func Withheld(since, period time.Duration) float64 {
	if since >= period || period <= 0 {
		return 0
	}
	return 1 - math.Pow(firstShare, 1-max(float64(since)/float64(period), 0))
}
