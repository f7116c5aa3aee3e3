package catalogshare

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/stall"
)

// PauseHooks connect a hub to what its host knows of targets' pauses. They must not block
// nor call the hub.
type PauseHooks struct {
	// AddEnds takes ends of pauses that other hosts have observed.
	AddEnds func(ends []stall.SharedEnd)
	// AddTable takes the table of another host.
	AddTable func(table []stall.SharedPattern)
	// Table returns the host's own table.
	Table func() []stall.SharedPattern
}

// pauseNews is what a reader sends about pauses of targets.
type pauseNews struct {
	Ends []stall.SharedEnd `cbor:"1,keyasint,omitempty"`
	// Table is sent once to each host that becomes a gatherer.
	Table []stall.SharedPattern `cbor:"2,keyasint,omitempty"`
}

// heldEnd is an end of a pause until the next heartbeat.
type heldEnd struct {
	target string
	end    stall.End
}

// pauseRelay holds the ends of pauses that a reader passes on with the next heartbeat.
type pauseRelay struct {
	hooks PauseHooks
	// own are those of this host and its followers, others those of other readers.
	own    []heldEnd
	others []heldEnd
}

// hold adds valid ends to those held, as far as there is room.
func hold(held []heldEnd, ends []stall.SharedEnd, now time.Time) []heldEnd {
	for _, s := range ends {
		if end, ok := s.End(now); ok && len(held) < stall.MaxSharedEnds {
			held = append(held, heldEnd{target: s.Target, end: end})
		}
	}
	return held
}

// shared returns the held ends as they are sent at now, at most MaxSharedEnds.
func shared(held []heldEnd, now time.Time) []stall.SharedEnd {
	held = held[:min(len(held), stall.MaxSharedEnds)]
	ends := make([]stall.SharedEnd, 0, len(held))
	for _, e := range held {
		ends = append(ends, stall.Share(e.target, e.end, now))
	}
	return ends
}

// SetPauseHooks sets the hooks. It must be called before the hub runs.
func (h *Hub) SetPauseHooks(hooks PauseHooks) { h.pauses.hooks = hooks }

// addOwnPauseEnds holds the ends that this host has observed.
func (h *Hub) addOwnPauseEnds(ends []stall.SharedEnd) {
	if len(ends) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.pauses.own = hold(h.pauses.own, ends, time.Now())
}

// addPauseEnds takes the ends that a follower has observed.
func (h *Hub) addPauseEnds(ends []stall.SharedEnd) {
	h.addOwnPauseEnds(ends)
	h.handlePauses(&pauseNews{Ends: ends})
}

// addReaderPauses takes what another reader sent. It goes to followers only, since each
// reader tells all others.
func (h *Hub) addReaderPauses(news *pauseNews) {
	if news == nil {
		return
	}
	h.mu.Lock()
	h.pauses.others = hold(h.pauses.others, news.Ends, time.Now())
	h.mu.Unlock()
	h.handlePauses(news)
}

// handlePauses passes news to the host itself.
func (h *Hub) handlePauses(news *pauseNews) {
	if news == nil {
		return
	}
	if len(news.Ends) > 0 && h.pauses.hooks.AddEnds != nil {
		h.pauses.hooks.AddEnds(news.Ends)
	}
	if len(news.Table) > 0 && h.pauses.hooks.AddTable != nil {
		h.pauses.hooks.AddTable(news.Table)
	}
}

// sendPauses sends the held ends to the other readers and, with those of these, to the
// followers that gather. New gatherers get the table first. The caller holds the lock.
func (h *Hub) sendPauses(now time.Time) {
	own, others := h.pauses.own, h.pauses.others
	h.pauses.own, h.pauses.others = nil, nil
	var toReaders, toGatherers, toNew []byte
	for f := range h.followers {
		switch {
		case f.observe:
			h.queuePauses(f, &toReaders, own, now, false)
		case !h.isGatherer(f):
			f.informed = false
		case !f.informed:
			f.informed = true
			h.queuePauses(f, &toNew, slices.Concat(own, others), now, true)
		default:
			h.queuePauses(f, &toGatherers, slices.Concat(own, others), now, false)
		}
	}
}

func (h *Hub) isGatherer(f *follower) bool {
	return slices.ContainsFunc(h.gatherers, func(m gathering.Member) bool { return m.Addr != "" && m.Addr == f.member.Addr })
}

// queuePauses queues a message with ends and, if withTable is set, the table; raw caches
// it. The caller holds the lock.
func (h *Hub) queuePauses(f *follower, raw *[]byte, ends []heldEnd, now time.Time, withTable bool) {
	if *raw == nil {
		m := h.newMessage()
		m.Pauses = &pauseNews{Ends: shared(ends, now)}
		if withTable && h.pauses.hooks.Table != nil {
			m.Pauses.Table = h.pauses.hooks.Table()
		}
		if len(m.Pauses.Ends)+len(m.Pauses.Table) == 0 {
			return
		}
		*raw = h.encoded(m)
	}
	h.queue(f, *raw)
}
