package scatter

import (
	"math/bits"
	"sync/atomic"
	"time"
)

const (
	// latencySubBits gives 8 buckets for each power of two.
	latencySubBits = 3
	latencyBuckets = 40 << latencySubBits
	// latencyUnit is the resolution of the smallest bucket.
	latencyUnit = time.Microsecond
)

// Latency is a rolling histogram of one service's answer times. It covers the
// current and the previous window. It is safe for concurrent use and takes no
// lock; samples that race with the change of a window may be lost.
type Latency struct {
	windows [2][latencyBuckets]atomic.Uint32
	current atomic.Uint32
	rotated atomic.Int64
	cached  atomic.Int64
	expires atomic.Int64
	quanta  atomic.Uint64
}

// Observe adds a sample.
func (l *Latency) Observe(d time.Duration, now time.Time) {
	l.rotate(now.UnixNano())
	l.windows[l.current.Load()&1][latencyBucket(d)].Add(1)
}

// Quantile returns the q quantile and whether there were enough samples. The
// value may be up to quantileRefresh old.
func (l *Latency) Quantile(q float64, now time.Time) (time.Duration, bool) {
	nanos := now.UnixNano()
	key := uint64(q * (1 << 32))
	if nanos < l.expires.Load() && l.quanta.Load() == key {
		d := l.cached.Load()
		return time.Duration(d), d > 0
	}
	d := l.compute(q)
	if d == 0 {
		return 0, false
	}
	l.cached.Store(int64(d))
	l.quanta.Store(key)
	l.expires.Store(nanos + int64(quantileRefresh))
	return d, true
}

// compute returns zero if there are too few samples.
func (l *Latency) compute(q float64) time.Duration {
	var counts [latencyBuckets]uint64
	total := uint64(0)
	for w := range l.windows {
		for i := range counts {
			n := uint64(l.windows[w][i].Load())
			counts[i] += n
			total += n
		}
	}
	if total < minHedgeSamples {
		return 0
	}
	rank := uint64(q * float64(total))
	seen := uint64(0)
	for i, n := range counts {
		seen += n
		if seen > rank {
			return latencyUpper(i)
		}
	}
	return latencyUpper(latencyBuckets - 1)
}

// rotate starts a new window once the current one is full.
func (l *Latency) rotate(nanos int64) {
	since := l.rotated.Load()
	if nanos-since < int64(latencyWindow) || !l.rotated.CompareAndSwap(since, nanos) {
		return
	}
	next := (l.current.Load() + 1) & 1
	for i := range l.windows[next] {
		l.windows[next][i].Store(0)
	}
	l.current.Store(next)
}

// latencyBucket returns the bucket of d on a logarithmic scale.
func latencyBucket(d time.Duration) int {
	n := uint64(max(d, 0) / latencyUnit)
	if n < 1<<latencySubBits {
		return int(n)
	}
	exp := bits.Len64(n) - latencySubBits - 1
	index := (exp+1)<<latencySubBits + int(n>>exp) - 1<<latencySubBits
	return min(index, latencyBuckets-1)
}

// latencyUpper returns the upper end of a bucket.
func latencyUpper(i int) time.Duration {
	if i < 1<<latencySubBits {
		return time.Duration(i+1) * latencyUnit
	}
	exp := i>>latencySubBits - 1
	mantissa := uint64(i&(1<<latencySubBits-1)) + 1<<latencySubBits
	return time.Duration((mantissa+1)<<exp) * latencyUnit
}
