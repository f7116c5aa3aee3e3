package warmup

import "time"

const (
	// FreshFor is how long a host uses a list after it has asked for its last confirmation.
	FreshFor = 1600 * time.Millisecond
	// StableFor is how long a host must have had a list before it uses it. It exceeds
	// FreshFor by the Interval in which requests are counted: with 2 s, hosts with the old list
	// and hosts with the new one would both send their shares within one second.
	StableFor = FreshFor + Interval
)

// Lease is a host's right to use a list, which it renews by asking the reader. The zero
// value gives no right.
type Lease struct {
	list List
	// source identifies the reader and the link over which the list came.
	source     uint64
	generation uint64
	// since is when this generation first came over this link; zero without a list.
	since time.Time
	// asked is when the host asked for the last confirmation.
	asked time.Time
}

// Confirm records a reader's answer, received at now, to a question sent at asked.
func (l *Lease) Confirm(source, generation uint64, list List, asked, now time.Time) {
	if l.since.IsZero() || source != l.source || generation != l.generation {
		*l = Lease{list: list, source: source, generation: generation, since: now, asked: asked}
		return
	}
	if asked.After(l.asked) {
		l.asked = asked
	}
}

// Drop ends the lease.
func (l *Lease) Drop() { *l = Lease{} }

// List returns the list, or nil if the host may not use one at now.
func (l *Lease) List(now time.Time) *List {
	if l.since.IsZero() || now.Sub(l.since) < StableFor || elapsed(l.asked, now) >= FreshFor {
		return nil
	}
	return &l.list
}

// Known returns the list and its generation that came last from the source, whether or not
// it may be used; generation 0 for none.
func (l *Lease) Known(source uint64) (list List, generation uint64) {
	if l.since.IsZero() || l.source != source {
		return List{}, 0
	}
	return l.list, l.generation
}

// elapsed returns the time between two instants by the monotonic clock or by the wall clock,
// whichever is longer: the monotonic clock may not count the time that a machine was frozen.
func elapsed(from, to time.Time) time.Duration {
	return max(to.Sub(from), to.Round(0).Sub(from.Round(0)))
}
