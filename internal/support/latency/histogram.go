// Package latency provides rolling histograms of answer times.
package latency

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// MinSamples is the least number of samples for which a quantile is returned.
	MinSamples = 32
	// window is the length of one of the two windows of a histogram.
	window = 5 * time.Second
	// quantileRefresh is how long a computed quantile is cached.
	quantileRefresh = 100 * time.Millisecond
	// subBits is the base-2 logarithm of the buckets for each power of two.
	subBits = 3
	// buckets is the number of buckets of a window.
	buckets = 40 << subBits
	// resolution is the width of the smallest buckets.
	resolution = time.Microsecond
)

// Histogram is a rolling histogram of answer times. It covers the current and the
// previous window. It is safe for concurrent use and lock-free; samples added while
// a window is being replaced may be lost.
type Histogram struct {
	windows [2][buckets]atomic.Uint32
	// current is the index of the current window.
	current atomic.Uint32
	// rotated is when the current window started, in Unix nanoseconds.
	rotated atomic.Int64
	// cached is the last computed quantile, in nanoseconds. It is valid until
	// expires, in Unix nanoseconds, for the q encoded in cachedKey.
	cached    atomic.Int64
	expires   atomic.Int64
	cachedKey atomic.Uint64
}

// Observe adds a sample.
func (l *Histogram) Observe(d time.Duration, now time.Time) {
	l.rotate(now.UnixNano())
	l.windows[l.current.Load()&1][bucketOf(d)].Add(1)
}

// Quantile returns the q quantile, or false if there are fewer than MinSamples
// samples. The value may be up to quantileRefresh old.
func (l *Histogram) Quantile(q float64, now time.Time) (time.Duration, bool) {
	nanos := now.UnixNano()
	key := uint64(q * (1 << 32))
	if nanos < l.expires.Load() && l.cachedKey.Load() == key {
		d := l.cached.Load()
		return time.Duration(d), d > 0
	}
	d := l.compute(q)
	if d == 0 {
		return 0, false
	}
	l.cached.Store(int64(d))
	l.cachedKey.Store(key)
	l.expires.Store(nanos + int64(quantileRefresh))
	return d, true
}

// compute returns the q quantile, or zero if there are too few samples.
func (l *Histogram) compute(q float64) time.Duration {
	var counts [buckets]uint64
	total := uint64(0)
	for w := range l.windows {
		for i := range counts {
			n := uint64(l.windows[w][i].Load())
			counts[i] += n
			total += n
		}
	}
	if total < MinSamples {
		return 0
	}
	rank := uint64(q * float64(total))
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if seen > rank {
			return upperEnd(i)
		}
	}
	return upperEnd(buckets - 1)
}

// rotate starts a new window once the current one has lasted its full length.
func (l *Histogram) rotate(nanos int64) {
	since := l.rotated.Load()
	if nanos-since < int64(window) || !l.rotated.CompareAndSwap(since, nanos) {
		return
	}
	next := (l.current.Load() + 1) & 1
	for i := range l.windows[next] {
		l.windows[next][i].Store(0)
	}
	l.current.Store(next)
}

// bucketOf returns the bucket of d on a logarithmic scale.
func bucketOf(d time.Duration) int {
	n := uint64(max(d, 0) / resolution)
	if n < 1<<subBits {
		return int(n)
	}
	exp := bits.Len64(n) - subBits - 1
	index := (exp+1)<<subBits + int(n>>exp) - 1<<subBits
	return min(index, buckets-1)
}

// upperEnd returns the upper bound of bucket i.
func upperEnd(i int) time.Duration {
	if i < 1<<subBits {
		return time.Duration(i+1) * resolution
	}
	exp := i>>subBits - 1
	mantissa := uint64(i&(1<<subBits-1)) + 1<<subBits
	return time.Duration((mantissa+1)<<exp) * resolution
}
