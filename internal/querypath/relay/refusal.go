package relay

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// refuse returns the answer for a request that has not run on any target.
func refuse(reason exchange.Reason, after time.Duration) *exchange.Answer {
	return &exchange.Answer{Status: 503, Reason: reason, RetryAfter: after}
}

// refuseUnserved refuses a request that no target of the group can take. If targets
// have asked for a pause or are cold, the caller is told when the first one may take a
// request. If targets are evacuated, the refusal says so; otherwise it has the given reason.
func (r *run) refuseUnserved(g *targetpool.Group, reason exchange.Reason, now time.Time) *exchange.Answer {
	if g != nil && !r.available(g, now) {
		if w := waitFor(g, now, r.allows); w.left > 0 {
			return refuse(w.reason, w.left)
		}
		if g.HasEvacuated(r.allows) {
			return refuse(exchange.Evacuated, retryNoRoom)
		}
	}
	return refuse(reason, retryNoRoom)
}

// allows reports whether the request may be sent to a target.
func (r *run) allows(t *catalog.Target) bool {
	return r.executor.opts.Regions.Allows(r.route, t.FailureDomain)
}

// available reports whether a target of the group can take a request.
func (r *run) available(g *targetpool.Group, now time.Time) bool {
	return r.executor.choose(r.route, g, nil, r.expectedTimes.usual, now).pool != nil
}

// refuseUnserved refuses a sweep for which too few shards have a target. If enough
// shards would have one after the pauses that targets have asked for, or once this host
// has permits for cold targets, the caller is told when. If enough would have one without
// the evacuations, the refusal says so; otherwise it has the given reason.
func (s *sweep) refuseUnserved(reason exchange.Reason, now time.Time) *exchange.Answer {
	available, evacuated := 0, 0
	var waits []wait
	for i := range s.legs {
		g := s.legs[i].group
		switch {
		case g == nil:
		case s.available(g, now):
			available++
		default:
			if w := waitFor(g, now, s.allows); w.left > 0 {
				waits = append(waits, w)
			} else if g.HasEvacuated(s.allows) {
				evacuated++
			}
		}
	}
	missing := s.minShards - available
	switch {
	case missing > 0 && missing <= len(waits):
		sortWaits(waits)
		return refuse(waits[missing-1].reason, waits[missing-1].left)
	case missing > 0 && missing <= len(waits)+evacuated:
		return refuse(exchange.Evacuated, retryNoRoom)
	default:
		return refuse(reason, retryNoRoom)
	}
}
