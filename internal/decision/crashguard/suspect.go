package crashguard

import (
	"slices"
	"time"
)

const (
	// crashesToBlock is the number of separate crashes after which a request is
	// refused. A single crash is no proof, because it makes a suspect of every
	// request that was in flight on the target.
	crashesToBlock = 2
	// sameCrashWindow is the interval within which crashes count as one. Several
	// targets may fail at once, and a sweep is in flight on many targets.
	sameCrashWindow = 500 * time.Millisecond
	// sameStartWindow is the interval within which two crashes of a target whose start
	// is unknown are the same.
	sameStartWindow = 3 * time.Second
	// blockFor is how long a request is refused after its last crash. It doubles with each
	// separate crash beyond crashesToBlock, at most maxDoublings times.
	blockFor     = 2 * time.Minute
	maxDoublings = 8
	// holdFor is how long a request that is not proven is refused after its first crash, on a
	// host that may have forgotten earlier ones.
	holdFor = 30 * time.Second
	// suspectTTL is how long a suspect is kept at least after its last crash.
	suspectTTL = time.Hour
	// maxCrashes bounds the separate crashes that are kept of a suspect, and maxTargets the
	// targets that are kept of each.
	maxCrashes = crashesToBlock + maxDoublings
	maxTargets = 4
)

// targetStart identifies a start of a target; born is 0 if the start is unknown, and service is
// empty if it is.
type targetStart struct {
	target  string
	born    int64
	service string
}

// crash is the end of one or more targets within sameCrashWindow of at.
type crash struct {
	at time.Time
	// targets has at most maxTargets of them.
	targets []targetStart
}

// suspect is a request that targets were processing when they crashed.
type suspect struct {
	crashes []*crash
	last    time.Time
	// cleared is when a target last answered the request, by service, of services whose targets
	// crashed or may have.
	cleared map[string]time.Time
}

// watch makes answers of a service count from now on.
func (s *suspect) watch(service string, now time.Time) {
	if s.cleared == nil {
		s.cleared = map[string]time.Time{}
	}
	if _, known := s.cleared[service]; !known {
		s.cleared[service] = time.Time{}
	}
	if now.After(s.last) {
		s.last = now
	}
}

// clear records that a target of a service answered the request at the given time: earlier
// crashes of its targets had other causes. It reports whether that is news.
func (s *suspect) clear(service string, at time.Time) bool {
	since, watched := s.cleared[service]
	if !watched || !at.After(since) {
		return false
	}
	s.cleared[service] = at
	dropped := false
	s.crashes = slices.DeleteFunc(s.crashes, func(c *crash) bool {
		if c.at.After(at) {
			return false
		}
		before := len(c.targets)
		c.targets = slices.DeleteFunc(c.targets, func(t targetStart) bool { return t.service == service || t.service == "" })
		dropped = dropped || len(c.targets) < before
		return len(c.targets) == 0
	})
	return dropped
}

// add records that a target ended at the given time and reports whether that is new and may
// change how the request is treated.
func (s *suspect) add(start targetStart, at time.Time) bool {
	s.watch(start.service, at)
	if s.knows(start, at) || !at.After(s.cleared[start.service]) {
		return false
	}
	c := s.crashAt(at)
	if c == nil {
		c = &crash{at: at}
		s.crashes = append(s.crashes, c)
		s.dropOldest()
	}
	return c.add(start)
}

// add records one more target that ended, and reports whether it is kept. Of many, a second one of
// a service takes the place of another one, since two of a service are the stronger proof.
func (c *crash) add(start targetStart) bool {
	if len(c.targets) < maxTargets {
		c.targets = append(c.targets, start)
		return true
	}
	if c.endedTwo() {
		return false
	}
	sameService := slices.IndexFunc(c.targets, func(t targetStart) bool { return t.service == start.service && t.target != start.target })
	if sameService < 0 || start.service == "" {
		return false
	}
	c.targets[(sameService+1)%len(c.targets)] = start
	return true
}

// knows reports whether a crash of this start is recorded.
func (s *suspect) knows(start targetStart, at time.Time) bool {
	for _, c := range s.crashes {
		for _, known := range c.targets {
			if known.target != start.target {
				continue
			}
			gap := at.Sub(c.at).Abs()
			sameBorn := known.born == start.born && start.born != 0
			unknownBorn := known.born == 0 || start.born == 0
			if sameBorn || gap <= sameCrashWindow || unknownBorn && gap <= sameStartWindow {
				return true
			}
		}
	}
	return false
}

// crashAt returns the crash of which an end at the given time is a part, nil for none.
func (s *suspect) crashAt(at time.Time) *crash {
	for _, c := range s.crashes {
		if at.Sub(c.at).Abs() <= sameCrashWindow {
			return c
		}
	}
	return nil
}

// dropOldest drops the oldest crash if there are more than maxCrashes.
func (s *suspect) dropOldest() {
	if len(s.crashes) <= maxCrashes {
		return
	}
	oldest := 0
	for i, c := range s.crashes {
		if c.at.Before(s.crashes[oldest].at) {
			oldest = i
		}
	}
	s.crashes = append(s.crashes[:oldest], s.crashes[oldest+1:]...)
}

// repeated reports whether there were several separate crashes.
func (s *suspect) repeated() bool { return len(s.crashes) >= crashesToBlock }

// endedTwoAt reports whether two targets of one service ended under the request at the given time.
func (s *suspect) endedTwoAt(at time.Time) bool {
	c := s.crashAt(at)
	return c != nil && c.endedTwo()
}

// endedTwo reports whether two targets of one service ended.
func (c *crash) endedTwo() bool {
	ended := map[string]string{}
	for _, t := range c.targets {
		if other, found := ended[t.service]; found && t.service != "" && other != t.target {
			return true
		}
		ended[t.service] = t.target
	}
	return false
}

// blockedFor returns how long a proven request is refused after its last crash.
func (s *suspect) blockedFor() time.Duration {
	return blockFor << min(max(len(s.crashes)-crashesToBlock, 0), maxDoublings)
}

// blocks reports whether the request must be refused: for long if it is proven to crash targets,
// and otherwise for a short time if it may have been proven before.
func (s *suspect) blocks(now time.Time, proven, mayHaveBeen bool) bool {
	if proven {
		return now.Sub(s.last) < s.blockedFor()
	}
	return mayHaveBeen && len(s.crashes) > 0 && now.Sub(s.last) < holdFor
}

// expired reports whether the suspect can be forgotten. A proven one outlasts the time for
// which it is refused, so that one more crash is enough then.
func (s *suspect) expired(now time.Time) bool {
	return now.Sub(s.last) >= max(suspectTTL, 2*s.blockedFor())
}

// reports returns the recorded crashes as reports about a request.
func (s *suspect) reports(request Fingerprint, now time.Time) []CrashReport {
	var reports []CrashReport
	for _, c := range s.crashes {
		for _, start := range c.targets {
			reports = append(reports, CrashReport{Request: request, Target: start.target, Born: start.born, Service: start.service, AgeMS: now.Sub(c.at).Milliseconds()})
		}
	}
	return reports
}
