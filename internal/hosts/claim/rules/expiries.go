package rules

// expiries indexes ids by the second in which they expire, so that a sweep visits
// only expired ids.
type expiries struct {
	slots map[Time][]string
	// swept is the newest slot that was removed by due.
	swept Time
}

const slotMS Time = 1000

func (x *expiries) add(id string, at Time) {
	if x.slots == nil {
		x.slots = make(map[Time][]string)
	}
	slot := at/slotMS + 1
	x.slots[slot] = append(x.slots[slot], id)
}

// due removes and returns the ids in all slots up to that of now.
func (x *expiries) due(now Time) []string {
	slot := now / slotMS
	if slot <= x.swept {
		return nil
	}
	x.swept = slot
	var ids []string
	for at, list := range x.slots {
		if at <= slot {
			ids = append(ids, list...)
			delete(x.slots, at)
		}
	}
	return ids
}
