package overload

import "time"

const (
	// creditCap bounds the credit of a stream, so that a pause of its callers leads to no
	// burst.
	creditCap = 2
	// demandGain is the weight of a new slice in a stream's mean rate: in a large fleet
	// a host gets less than one request a second of a stream.
	demandGain = 0.1
	// streamSlices is after how many slices without requests a stream is dropped.
	streamSlices = 200
)

// stream is the state of one stream of a group.
type stream struct {
	fresh     attempts
	returning attempts
	// counts are reported to the fleet.
	counts Counts
	// began and seen are the slices of the first and the last request.
	began     int64
	seen      int64
	refusedAt time.Time
}

// attempts are the first attempts of a stream's callers, or those after a refusal.
type attempts struct {
	// offered is the number of attempts in the newest slice, rate the mean per second.
	offered int
	rate    float64
	// ratio is the share that is admitted. Each attempt adds it to the credit, and one
	// is admitted for each whole credit.
	ratio  float64
	credit float64
}

// close ends a slice.
func (a *attempts) close(gain float64) {
	a.rate += gain * (float64(a.offered)/sliceLength.Seconds() - a.rate)
	a.offered = 0
}

func newStream(slice int64, r Ratios) *stream {
	return &stream{began: slice, seen: slice, fresh: attempts{ratio: r.Fresh}, returning: attempts{ratio: r.Returning}}
}

func (s *stream) attempts(returning bool) *attempts {
	if returning {
		return &s.returning
	}
	return &s.fresh
}

// offer counts a request and adds to the credit of its kind.
func (s *stream) offer(slice int64, returning bool) {
	a := s.attempts(returning)
	a.offered++
	a.credit = min(a.credit+a.ratio, creditCap)
	s.seen = slice
	s.counts.Offered++
	if returning {
		s.counts.Returning++
	}
}

// close ends the given slice. The first slices of a stream have more weight.
func (s *stream) close(slice int64) {
	gain := max(demandGain, 1/float64(slice-s.began+1))
	s.fresh.close(gain)
	s.returning.close(gain)
}

func (s *stream) setRatios(r Ratios) { s.fresh.ratio, s.returning.ratio = r.Fresh, r.Returning }
