// Package targethealth finds slow and failing targets from the exchanges of many
// hosts.
//
// In a large fleet each host sends a target less than one request per second and
// detects too late that it is slow or failing. Hosts therefore report their
// exchanges to a collecting host, which aggregates them and returns the targets
// to avoid. The package starts no goroutines, does no I/O and takes the time as an
// argument.
package targethealth

import (
	"slices"
	"time"
)

const (
	// sliceCount slices of sliceLength each form the sliding window. The window is
	// long compared with a pause of a target, so that a pause does not count as a
	// fault.
	sliceCount  = 3
	sliceLength = 400 * time.Millisecond
	// minBad is the minimum number of bad exchanges of an unhealthy target.
	minBad = 3
	// badShare is the minimum share of bad exchanges of an unhealthy target.
	badShare = 0.5
	// commonShare is the share of unhealthy targets above which the hosts themselves
	// are the likely cause, and no target is reported.
	commonShare = 0.5
)

// Sample counts a host's exchanges with one target since its last report.
type Sample struct {
	Target string `cbor:"1,keyasint"`
	// Good is the number of exchanges answered in about the usual time.
	Good int `cbor:"2,keyasint,omitempty"`
	// Bad is the number of exchanges that were slow, failed or refused.
	Bad int `cbor:"3,keyasint,omitempty"`
}

type counts struct{ good, bad int }

// Aggregator sums up the samples of all targets over a sliding window. The zero
// value is ready for use. It is not safe for concurrent use.
type Aggregator struct {
	slices [sliceCount]map[string]counts
	newest int64
}

// Add adds samples to the current slice of the window.
func (b *Aggregator) Add(now time.Time, samples []Sample) {
	b.advance(now)
	current := b.slices[b.newest%sliceCount]
	for _, s := range samples {
		c := current[s.Target]
		c.good += s.Good
		c.bad += s.Bad
		current[s.Target] = c
	}
}

// Unhealthy returns the targets to avoid, sorted by id. It returns none if more than
// commonShare of the targets with samples look unhealthy.
func (b *Aggregator) Unhealthy(now time.Time) []string {
	b.advance(now)
	sums := map[string]counts{}
	for _, slice := range b.slices {
		for target, c := range slice {
			sum := sums[target]
			sum.good += c.good
			sum.bad += c.bad
			sums[target] = sum
		}
	}
	var bad []string
	for target, c := range sums {
		if c.bad >= minBad && float64(c.bad) >= badShare*float64(c.good+c.bad) {
			bad = append(bad, target)
		}
	}
	if float64(len(bad)) > commonShare*float64(len(sums)) {
		return nil
	}
	slices.Sort(bad)
	return bad
}

// advance clears the slices that are no longer in the window.
func (b *Aggregator) advance(now time.Time) {
	newest := now.UnixNano() / int64(sliceLength)
	for n := max(b.newest+1, newest-sliceCount+1); n <= newest; n++ {
		b.slices[n%sliceCount] = map[string]counts{}
	}
	b.newest = max(newest, b.newest)
}
