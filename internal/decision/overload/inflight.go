package overload

// inFlight is the work in flight by rank, in units of the most work of one request.
type inFlight map[int]float64

// upTo returns the work of the ranks that are at least as urgent.
func (f inFlight) upTo(rank int) float64 {
	sum := 0.0
	for other, work := range f {
		if other <= rank {
			sum += work
		}
	}
	return sum
}

// total returns the work of all ranks.
func (f inFlight) total() float64 {
	sum := 0.0
	for _, work := range f {
		sum += work
	}
	return sum
}

func (f inFlight) add(t Ticket) { f[t.rank] += t.weight }

func (f inFlight) remove(t Ticket) {
	if left := f[t.rank] - t.weight; left > leastWeight/2 {
		f[t.rank] = left
		return
	}
	delete(f, t.rank)
}
