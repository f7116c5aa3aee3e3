package rules

import "time"

// Time is a reading of a host's clock in Unix milliseconds.
type Time int64

// At converts t to a Time.
func At(t time.Time) Time { return Time(t.UnixMilli()) }

// Add returns t+d, with d truncated to milliseconds.
func (t Time) Add(d time.Duration) Time { return t + Time(d/time.Millisecond) }
