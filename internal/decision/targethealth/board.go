// Package targethealth judges targets by the exchanges of many hosts.
//
// In a large fleet each host sends a target less than one request a second and
// learns too late that it is slow or fails. Hosts send what they saw to one that
// collects it; its Board tells which targets to avoid. No goroutines, no I/O; the
// time comes from the callers.
package targethealth

import (
	"slices"
	"time"
)

const (
	// slices of sliceLength make up the time in which exchanges count. A pause of
	// a target is short against it and is not taken for a fault.
	sliceCount  = 3
	sliceLength = 400 * time.Millisecond
	// leastBad is the number of bad exchanges that it takes.
	leastBad = 3
	// badShare is their share of a target's exchanges.
	badShare = 0.5
	// commonShare of all targets that look bad at once point to the hosts' own
	// trouble; then no target is named.
	commonShare = 0.5
)

// Sample counts a host's exchanges with one target since its last report.
type Sample struct {
	Target string `cbor:"1,keyasint"`
	// Good exchanges were answered in about the usual time.
	Good int `cbor:"2,keyasint,omitempty"`
	// Bad ones were slow, failed or refused.
	Bad int `cbor:"3,keyasint,omitempty"`
}

type counts struct{ good, bad int }

// Board holds the newest samples of all targets. Its owner guards it.
type Board struct {
	slices [sliceCount]map[string]counts
	newest int64
}

// Add takes samples in.
func (b *Board) Add(now time.Time, samples []Sample) {
	b.advance(now)
	current := b.slices[b.newest%sliceCount]
	for _, s := range samples {
		c := current[s.Target]
		c.good += s.Good
		c.bad += s.Bad
		current[s.Target] = c
	}
}

// Bad returns the targets to avoid, in order.
func (b *Board) Bad(now time.Time) []string {
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
		if c.bad >= leastBad && float64(c.bad) >= badShare*float64(c.good+c.bad) {
			bad = append(bad, target)
		}
	}
	if float64(len(bad)) > commonShare*float64(len(sums)) {
		return nil
	}
	slices.Sort(bad)
	return bad
}

// advance empties the slices that are too old.
func (b *Board) advance(now time.Time) {
	newest := now.UnixNano() / int64(sliceLength)
	for n := max(b.newest+1, newest-sliceCount+1); n <= newest; n++ {
		b.slices[n%sliceCount] = map[string]counts{}
	}
	b.newest = max(newest, b.newest)
}
