package crashguard

// maxServed bounds each of the two parts of a servedSet.
const maxServed = 4096

// servedSet has the requests that were last answered, at least maxServed of them if there are as
// many.
type servedSet struct {
	recent, older map[Fingerprint]struct{}
}

func (s *servedSet) add(request Fingerprint) {
	if s.recent == nil || len(s.recent) >= maxServed {
		s.older, s.recent = s.recent, map[Fingerprint]struct{}{}
	}
	s.recent[request] = struct{}{}
}

func (s *servedSet) has(request Fingerprint) bool {
	_, recent := s.recent[request]
	_, older := s.older[request]
	return recent || older
}
