package searcher

import (
	"net/http"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

// StateLimit makes all answers state a limit of requests a second, as written; "" ends it.
// From now on the arrivals are recorded.
func (s *Searcher) StateLimit(limit string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.limit = limit
	s.limitedSince = time.Now()
	s.limitedArrivals = nil
}

// MostArrivals returns the greatest number of requests that have arrived within any span of
// the given length, from the given time after the last StateLimit on.
func (s *Searcher) MostArrivals(span, after time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	most, from := 0, 0
	for to, at := range s.limitedArrivals {
		for at.Sub(s.limitedArrivals[from]) > span || s.limitedArrivals[from].Sub(s.limitedSince) < after {
			if from == to {
				break
			}
			from++
		}
		if at.Sub(s.limitedSince) >= after {
			most = max(most, to-from+1)
		}
	}
	return most
}

// noteLimit records an arrival after StateLimit and sets the header that states the limit.
func (s *Searcher) noteLimit(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.limitedSince.IsZero() {
		return
	}
	s.limitedArrivals = append(s.limitedArrivals, time.Now())
	if s.limit != "" {
		w.Header().Set(platform.HeaderLimit, s.limit)
	}
}
