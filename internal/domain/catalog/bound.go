package catalog

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/bounds"
)

// maxAttempts bounds Route.MaxAttempts, by which the queues of a request's outcomes are sized.
const maxAttempts = 64

// bound keeps the numbers of a route, which operators and other hosts state, in ranges in which nothing
// that is computed or allocated by them overflows.
func (r *Route) bound() {
	r.Timeout = bounds.Period(int64(r.Timeout), time.Nanosecond)
	r.Objective = bounds.Period(int64(r.Objective), time.Nanosecond)
	r.MaxAttempts = min(bounds.Count(r.MaxAttempts), maxAttempts)
	r.TopK = bounds.Count(r.TopK)
	for i := range r.Split {
		r.Split[i].Weight = bounds.Amount(r.Split[i].Weight)
	}
}

// bounded returns the limits in ranges that fit buffers. Without a limit of bodies, the range is one.
func (l Limits) bounded() Limits {
	l.MaxHeaderBytes = bounds.Count(l.MaxHeaderBytes)
	l.MaxBodyBytes = bounds.Count(l.MaxBodyBytes)
	if l.MaxBodyBytes == 0 {
		l.MaxBodyBytes = bounds.MaxCount
	}
	return l
}

// boundedService returns the service with numbers that fit all that is computed by them.
func boundedService(s Service, _ ServiceName) Service {
	s.MaxConns = bounds.Count(s.MaxConns)
	s.WarmupPerSecond = bounds.Amount(s.WarmupPerSecond)
	return s
}
