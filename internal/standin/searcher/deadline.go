package searcher

import (
	"net/http"
	"strconv"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

// noteDeadline records until when a request may take, by its Deadline-Ms at its arrival.
func (s *Searcher) noteDeadline(r *http.Request) {
	ms, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
	end := time.Time{}
	if err == nil {
		end = time.Now().Add(time.Duration(ms) * time.Millisecond)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	id := r.Header.Get(platform.HeaderRequestID)
	s.deadlines[id] = append(s.deadlines[id], end)
}

// Deadlines returns until when each request might take, by arrival; a zero time stands for an
// arrival without a deadline.
func (s *Searcher) Deadlines() map[string][]time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	all := make(map[string][]time.Time, len(s.deadlines))
	for id, ends := range s.deadlines {
		all[id] = append([]time.Time(nil), ends...)
	}
	return all
}
