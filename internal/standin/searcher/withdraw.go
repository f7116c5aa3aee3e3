package searcher

import (
	"net/http"
	"strconv"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

// Leave makes all answers say that the searcher is leaving.
func (s *Searcher) Leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// RefuseFor refuses all requests for the given time and asks in each refusal for no
// further request in the rest of it.
func (s *Searcher) RefuseFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pausedUntil = time.Now().Add(d)
}

// refusing sets the headers that say whether the searcher is leaving and, while it
// refuses requests, the time that is left. It reports whether it refuses them.
func (s *Searcher) refusing(w http.ResponseWriter) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leaving {
		w.Header().Set(platform.HeaderLeaving, "1")
	}
	left := time.Until(s.pausedUntil)
	if left <= 0 {
		return false
	}
	w.Header().Set(platform.HeaderRetryAfter, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	return true
}

// ID returns the searcher's id.
func (s *Searcher) ID() string { return s.opts.ID }
