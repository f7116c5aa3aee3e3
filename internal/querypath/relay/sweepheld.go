package relay

import "time"

// hold keeps a leg of a sweep that is suspected of crashing targets until another shard has
// answered.
func (s *sweep) hold(i int) {
	// It is no late leg while it is held.
	s.legs[i].hedged = true
	s.held = append(s.held, i)
}

// sendHeld sends the legs that are held: a shard has answered, so the sweep is treated like any
// other one.
func (s *sweep) sendHeld(now time.Time) {
	s.alone = false
	held := s.held
	s.held = nil
	for _, i := range held {
		s.sendHeldLeg(i, now)
	}
}

// sendHeldLeg sends one leg, or settles it if its shard has no target by now or the caller has
// left.
func (s *sweep) sendHeldLeg(i int, now time.Time) {
	s.legs[i].hedged = false
	chosen := s.executor.choose(s.route, s.legs[i].group, nil, s.expectedTimes.usual, now)
	if chosen.pool == nil || s.ended {
		s.settle(i)
		return
	}
	s.send(chosen, i, now)
}

// dropHeld is called when a leg has failed. If its target may have run it, the legs that are held
// are not sent at all, otherwise the next one takes its place.
func (s *sweep) dropHeld(failed *leg) {
	if failed.ran == 0 {
		s.sendNextHeld()
		return
	}
	for _, i := range s.held {
		s.settle(i)
	}
	s.held = nil
}

func (s *sweep) sendNextHeld() {
	for len(s.held) > 0 {
		i := s.held[0]
		s.held = s.held[1:]
		s.sendHeldLeg(i, time.Now())
		if s.legs[i].pending > 0 {
			return
		}
	}
}
