package stall

import "time"

const (
	// lateFactor and lateLeast are the least excess of a reply that a pause may have
	// delayed, as a factor of the usual time and absolutely. A target that is 2.5 times
	// slower for a while stays below it.
	lateFactor = 2
	lateLeast  = 25 * time.Millisecond
	// promptFactor is the greatest time, as a factor of the usual one, of the reply that
	// shows that the target answers at once after a pause.
	promptFactor = 2
	// confirmWithin is how long after the end of a pause that reply must be sent. A host
	// uses a replica in another failure domain only while the near one pauses.
	confirmWithin = 10 * time.Second
	// slowWithin is how long after a late reply another one means that the target is slow
	// or overloaded. It is less than MinPeriod.
	slowWithin = 600 * time.Millisecond
	// MaxLength bounds the excess that counts as a pause; more is a fault.
	MaxLength = time.Second
	// lateGain is the weight of a new reply in the share of late ones, and steadyShare
	// the share up to which the target is neither overloaded nor slow in general.
	lateGain    = 0.1
	steadyShare = 0.35
)

// Reply is one usable reply of a target.
type Reply struct {
	Sent    time.Time
	Replied time.Time
	// Usual is the response time of such a request at this target without a pause.
	Usual time.Duration
	// Congested is set while requests queue at the target.
	Congested bool
}

// Detector finds the ends of a target's pauses. The zero value is ready for use. It is
// not safe for concurrent use.
type Detector struct {
	// pending is the end of a pause that no prompt reply has confirmed, zero for none.
	pending End
	// confirmed is when the last confirmed pause ended.
	confirmed time.Time
	// lateShare is the moving average of the share of late replies.
	lateShare float64
}

// Observe takes a reply and returns the end of a pause that it confirms. Several replies
// that one pause delayed count once.
func (d *Detector) Observe(r Reply) (End, bool) {
	if r.Usual <= 0 {
		return End{}, false
	}
	excess := r.Replied.Sub(r.Sent) - r.Usual
	if excess >= max(lateFactor*r.Usual, lateLeast) {
		d.late(r, excess)
		return End{}, false
	}
	d.lateShare -= lateGain * d.lateShare
	return d.confirm(r)
}

// late records a reply that took much longer than usual.
func (d *Detector) late(r Reply, excess time.Duration) {
	if r.Sent.Before(d.confirmed) {
		return
	}
	if r.Sent.Before(d.pending.At) {
		d.pending.Length = max(d.pending.Length, min(excess, MaxLength))
		return
	}
	slow := !d.pending.At.IsZero() && r.Sent.Sub(d.pending.At) < slowWithin
	steady := d.lateShare <= steadyShare && !r.Congested
	d.lateShare += lateGain * (1 - d.lateShare)
	d.pending = End{}
	if !slow && steady && excess <= MaxLength {
		d.pending = End{At: r.Replied.Add(-r.Usual), Length: excess}
	}
}

// confirm returns the pending end if the reply shows that the target answers at once.
func (d *Detector) confirm(r Reply) (End, bool) {
	if d.pending.At.IsZero() || r.Sent.Before(d.pending.At) {
		return End{}, false
	}
	end := d.pending
	d.pending = End{}
	if r.Sent.Sub(end.At) > confirmWithin || r.Replied.Sub(r.Sent) > promptFactor*r.Usual {
		return End{}, false
	}
	d.confirmed = end.At
	return end, true
}
