package scatter

import "time"

// alarm is a time at which a shard may be hedged.
type alarm struct {
	at    time.Time
	shard int
}

// alarms is a binary heap of alarms, the earliest first.
type alarms []alarm

func (h *alarms) push(a alarm) {
	*h = append(*h, a)
	s := *h
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if !s[i].at.Before(s[parent].at) {
			return
		}
		s[i], s[parent] = s[parent], s[i]
		i = parent
	}
}

// pop removes and returns the earliest alarm of a heap that is not empty.
func (h *alarms) pop() alarm {
	s := *h
	top := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s = s[:last]
	*h = s
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && s[child+1].at.Before(s[child].at) {
			child++
		}
		if !s[child].at.Before(s[i].at) {
			return top
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}
