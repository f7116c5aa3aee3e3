package config

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Policy returns the policy for a workload, service and caller at now: the
// defaults with all matching, unexpired exceptions applied in order of name. An
// empty service or caller matches only exceptions that apply to all of them.
func (f *Fleet) Policy(w model.WorkloadName, s model.ServiceName, c model.CallerID, now time.Time) Policy {
	policy := f.Defaults
	for i := range f.Exceptions {
		x := &f.Exceptions[i]
		if x.matches(w, s, c) && !x.expired(now) {
			x.Policy.apply(&policy)
		}
	}
	return policy
}

func (x *Exception) matches(w model.WorkloadName, s model.ServiceName, c model.CallerID) bool {
	return x.Workload == w && (x.Service == "" || x.Service == s) && (x.Caller == "" || x.Caller == c)
}

// expired reports whether the exception no longer applies. It applies until the
// end of its last day, UTC.
func (x *Exception) expired(now time.Time) bool { return !now.Before(x.expiry) }

// ExpiresAt returns the time from which the exception no longer applies.
func (x *Exception) ExpiresAt() time.Time { return x.expiry }

func parseExpiry(date string) time.Time {
	day, err := time.Parse(time.DateOnly, date)
	if err != nil {
		return time.Time{}
	}
	return day.AddDate(0, 0, 1)
}

// apply sets the values of to that the patch overrides.
func (p *PolicyPatch) apply(to *Policy) {
	override(&to.DeadlineDefaultMS, p.DeadlineDefaultMS)
	override(&to.DeadlineMaxMS, p.DeadlineMaxMS)
	override(&to.StragglerWaitMS, p.StragglerWaitMS)
	override(&to.MinCoverage, p.MinCoverage)
	override(&to.HedgeQuantile, p.HedgeQuantile)
	override(&to.HedgeBudget, p.HedgeBudget)
	override(&to.RetryBudget, p.RetryBudget)
	override(&to.CallerRate, p.CallerRate)
	override(&to.CallerBurst, p.CallerBurst)
	override(&to.CallerInflight, p.CallerInflight)
	override(&to.MaxBodyBytes, p.MaxBodyBytes)
}

func override[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}
