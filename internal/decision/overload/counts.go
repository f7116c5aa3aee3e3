package overload

import "time"

const (
	// sliceLength is the length of one slice of the sliding windows.
	sliceLength = 100 * time.Millisecond
	// demandSlices slices form the window of the demand and, while a limit is in force,
	// of the results. It is longer than the one for detection, as a limited host sees few.
	demandSlices = 10
	// detectSlices slices form the window in which overload is detected.
	detectSlices = 4
)

// ring counts events by slice; the newest slice is the last one that has begun.
type ring [demandSlices + 1]int

func (r *ring) add(slice int64) { r[slice%int64(len(r))]++ }

func (r *ring) clear(slice int64) { r[slice%int64(len(r))] = 0 }

// sum returns the count of the n slices before the newest one, which is incomplete.
func (r *ring) sum(newest int64, n int) int {
	total := 0
	for i := int64(1); i <= int64(n) && i <= newest; i++ {
		total += r[(newest-i)%int64(len(r))]
	}
	return total
}

// results counts what became of admitted requests.
type results struct {
	ended     ring
	completed ring
	inTime    ring
	delayed   ring
	late      ring
}

func (r *results) clear(slice int64) {
	r.ended.clear(slice)
	r.completed.clear(slice)
	r.inTime.clear(slice)
	r.delayed.clear(slice)
	r.late.clear(slice)
}

// add counts a result. One of a request that was admitted before the last cut of the
// limit or a freeze of the host tells nothing about the limit in force and counts only as
// ended.
func (r *results) add(slice int64, result Result, outdated bool) {
	if result == Excused {
		return
	}
	if result != Slow {
		r.ended.add(slice)
	}
	if result != Unserved {
		r.completed.add(slice)
	}
	if result == InTime || result == Delayed {
		r.inTime.add(slice)
	}
	if outdated {
		return
	}
	switch result {
	case Delayed:
		r.delayed.add(slice)
	case Overdue, Unserved:
		r.late.add(slice)
	}
}
