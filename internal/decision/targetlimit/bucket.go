package targetlimit

import (
	"math"
	"time"
)

const (
	// burst is the time for whose requests permits are saved at most, unless that is less
	// than one permit.
	burst = 500 * time.Millisecond
	// lapseAfter is how long a permit is valid that is lost if it isn't used soon.
	lapseAfter = time.Second
)

// Bucket holds the permits of one host for requests to one target. Permits come at a constant
// rate. It is not safe for concurrent use.
type Bucket struct {
	allowance Allowance
	// level is the number of permits at the time updated; negative after more were taken.
	level   float64
	updated time.Time
	// fullSince is since when no permits were added since the bucket is full, zero if it isn't.
	fullSince time.Time
}

// NewBucket returns a bucket with a level of permits.
func NewBucket(a Allowance, level float64, now time.Time) Bucket {
	b := Bucket{level: level, updated: now}
	b.SetAllowance(a, now)
	return b
}

// SetAllowance sets the rate at which permits come and whether they lapse.
func (b *Bucket) SetAllowance(a Allowance, now time.Time) {
	b.advance(now)
	b.allowance = a
	b.level = min(b.level, b.capacity())
}

// Take takes a permit, even if there is none: then the next ones come later.
func (b *Bucket) Take(now time.Time) {
	b.advance(now)
	b.level--
	b.fullSince = time.Time{}
}

// Permits returns the number of whole permits.
func (b *Bucket) Permits(now time.Time) int {
	b.advance(now)
	return max(int(math.Floor(b.level)), 0)
}

// Wait returns the time until there are n permits, if none is taken; at most most.
func (b *Bucket) Wait(n int, now time.Time, most time.Duration) time.Duration {
	b.advance(now)
	missing := float64(n) - b.level
	if missing <= 0 {
		return 0
	}
	left := missing / b.allowance.PerSecond
	if !(left < most.Seconds()) {
		return most
	}
	return seconds(left) + time.Nanosecond
}

// capacity returns the greatest number of permits that are saved.
func (b *Bucket) capacity() float64 { return max(b.allowance.PerSecond*burst.Seconds(), 1) }

// lapses reports whether a permit lapses: one that comes more rarely than permits lapse, and
// so is the only one.
func (b *Bucket) lapses() bool {
	return b.allowance.Lapses && b.allowance.PerSecond*lapseAfter.Seconds() < 1
}

// advance adds the permits since the last update. A clock that goes back adds none.
func (b *Bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	b.updated = now
	if elapsed <= 0 || b.allowance.PerSecond <= 0 {
		return
	}
	b.level += b.allowance.PerSecond * elapsed
	surplus := b.level - b.capacity()
	if surplus < 0 {
		b.fullSince = time.Time{}
		return
	}
	if b.fullSince.IsZero() {
		b.fullSince = now.Add(-seconds(surplus / b.allowance.PerSecond))
	}
	b.level = b.capacity()
	if unused := now.Sub(b.fullSince); b.lapses() && unused > lapseAfter {
		b.lapse(unused-lapseAfter, now)
	}
}

// lapse sets the level some time after a permit has lapsed: the next ones come and lapse in
// turn.
func (b *Bucket) lapse(ago time.Duration, now time.Time) {
	filling := seconds(1 / b.allowance.PerSecond)
	ago %= filling + lapseAfter
	b.level, b.fullSince = min(ago.Seconds()*b.allowance.PerSecond, 1), time.Time{}
	if ago >= filling {
		b.fullSince = now.Add(filling - ago)
	}
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
