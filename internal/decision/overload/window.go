package overload

import "time"

const (
	// sliceLength is the length of one slice of the sliding windows.
	sliceLength = 100 * time.Millisecond
	// windowSlices slices form the longer window, and detectSlices the shorter one, by
	// which overload is detected sooner.
	windowSlices = 10
	detectSlices = 4
)

// counts are numbers of results.
type counts struct {
	ended int
	late  int
}

// mostlyLate reports whether at least least results, and the given share of all, are late.
func (c counts) mostlyLate(least int, share float64) bool {
	return c.late >= least && float64(c.late) >= share*float64(c.ended)
}

// window counts results by slice; the newest slice is the last one that has begun.
type window struct {
	slices [windowSlices + 1]counts
	newest int64
}

func (w *window) add(late bool) {
	c := &w.slices[w.newest%int64(len(w.slices))]
	c.ended++
	if late {
		c.late++
	}
}

// advance begins the slices up to newest.
func (w *window) advance(newest int64) {
	for n := max(w.newest+1, newest-windowSlices); n <= newest; n++ {
		w.slices[n%int64(len(w.slices))] = counts{}
	}
	w.newest = newest
}

// sum returns the counts of the n slices before the newest one, which is incomplete.
func (w *window) sum(n int) counts {
	var total counts
	for i := int64(1); i <= int64(n) && i <= w.newest; i++ {
		c := w.slices[(w.newest-i)%int64(len(w.slices))]
		total.ended += c.ended
		total.late += c.late
	}
	return total
}
