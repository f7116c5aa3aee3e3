package searcher

import (
	"fmt"
	"net/http"

	"github.com/swiftvane/swiftvane/platform"
)

// ReportLoad makes all answers state the searcher's load. others is the number of requests
// of other hosts that are reported as waiting beside the searcher's own; work is how long
// work takes, in hundredths of the usual time.
func (s *Searcher) ReportLoad(others, work int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.reportsLoad, s.othersWaiting, s.reportedWork = true, others, work
}

// addLoad sets the header that states the load, if the searcher reports it.
func (s *Searcher) addLoad(w http.ResponseWriter) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.reportsLoad {
		w.Header().Set(platform.HeaderLoad, fmt.Sprintf("%d,%d,%d,%d", len(s.slots), s.waiting+s.othersWaiting, cap(s.slots), s.reportedWork))
	}
}
