package scatter

import "time"

// shardTimer is a time at which a shard is due for a hedge or a retry.
type shardTimer struct {
	at    time.Time
	shard int
}

// timerHeap is a binary heap of shard timers, the earliest first.
type timerHeap []shardTimer

// push adds a timer.
func (h *timerHeap) push(t shardTimer) {
	*h = append(*h, t)
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

// pop removes and returns the earliest timer. The heap must not be empty.
func (h *timerHeap) pop() shardTimer {
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
