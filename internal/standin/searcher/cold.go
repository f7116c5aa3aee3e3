package searcher

import (
	"net/http"
	"strconv"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

// StayCold makes the searcher cold for the given time: its answers state the rest of it, and
// the requests that arrive meanwhile are counted by second. 0 makes it warm.
func (s *Searcher) StayCold(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.coldUntil = time.Now().Add(d)
	s.coldArrivals = nil
}

// ColdArrivals returns the number of requests that have arrived since StayCold while the
// searcher was cold, and the greatest number of them in any one second.
func (s *Searcher) ColdArrivals() (all, mostInOneSecond int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	from := 0
	for to, at := range s.coldArrivals {
		for at.Sub(s.coldArrivals[from]) > time.Second {
			from++
		}
		mostInOneSecond = max(mostInOneSecond, to-from+1)
	}
	return len(s.coldArrivals), mostInOneSecond
}

// noteCold counts a request that arrives while the searcher is cold and sets the header that
// states for how long it still is.
func (s *Searcher) noteCold(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	if left := s.coldUntil.Sub(now); left > 0 {
		s.coldArrivals = append(s.coldArrivals, now)
		w.Header().Set(platform.HeaderWarmup, strconv.FormatInt(left.Milliseconds(), 10))
	}
}
