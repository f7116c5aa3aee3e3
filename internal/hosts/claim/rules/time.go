package rules

import "time"

// Time is a host's clock in Unix milliseconds.
type Time int64

// At returns t as a Time.
func At(t time.Time) Time { return Time(t.UnixMilli()) }

// Add returns the time that is d later.
func (t Time) Add(d time.Duration) Time { return t + Time(d/time.Millisecond) }
