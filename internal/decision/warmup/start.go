package warmup

import "time"

// clockMargin bounds the difference between the clocks of a target and a host.
const clockMargin = 5 * time.Second

// ColdAfterStart returns until when a target counts as cold whose start this host sees for
// the first time at now. born is the start time that it states, zero if it states none: then
// it may have started just now. Without the stated time, a host that starts itself would
// take all targets for cold.
func ColdAfterStart(born, now time.Time, warmup time.Duration) time.Time {
	latest := now.Add(warmup)
	if born.IsZero() || born.After(now) {
		return latest
	}
	if until := born.Add(warmup + clockMargin); until.Before(latest) {
		return until
	}
	return latest
}
