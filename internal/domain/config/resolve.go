package config

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Policy returns the policy for a workload, service and caller at a time: the
// defaults with the matching exceptions that have not expired applied in order
// of name. An empty service or caller matches only exceptions for all of them.
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

// expired reports whether the exception has ended. It holds to the end of its
// last day, UTC.
func (x *Exception) expired(now time.Time) bool { return !now.Before(x.expiry) }

// ExpiresAt returns the moment from which the exception no longer applies.
func (x *Exception) ExpiresAt() time.Time { return x.expiry }

func expiry(date string) time.Time {
	day, err := time.Parse(time.DateOnly, date)
	if err != nil {
		return time.Time{}
	}
	return day.AddDate(0, 0, 1)
}

// apply sets the policy's values that the patch overrides.
func (p *PolicyPatch) apply(to *Policy) {
	set(&to.DeadlineDefaultMS, p.DeadlineDefaultMS)
	set(&to.DeadlineMaxMS, p.DeadlineMaxMS)
	set(&to.StragglerWaitMS, p.StragglerWaitMS)
	set(&to.MinCoverage, p.MinCoverage)
	set(&to.HedgeQuantile, p.HedgeQuantile)
	set(&to.HedgeBudget, p.HedgeBudget)
	set(&to.RetryBudget, p.RetryBudget)
	set(&to.CallerRate, p.CallerRate)
	set(&to.CallerBurst, p.CallerBurst)
	set(&to.CallerInflight, p.CallerInflight)
	set(&to.MaxBodyBytes, p.MaxBodyBytes)
}

func set[T any](to *T, value *T) {
	if value != nil {
		*to = *value
	}
}
