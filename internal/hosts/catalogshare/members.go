package catalogshare

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
)

// SelectGatherers selects the gatherers of a fleet with the given number of hosts from
// the members that this reader and the others know. Followers get the selection with
// the next heartbeat.
func (h *Hub) SelectGatherers(hosts int) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.gatherers = gathering.Select(h.allMembers(), gathering.Count(hosts))
}

// allMembers returns the members that this reader and the others know. The caller holds the
// lock.
func (h *Hub) allMembers() []gathering.Member {
	members := h.ownMembers()
	for _, other := range h.readerCounts {
		if time.Since(other.at) < countTTL {
			members = append(members, other.members...)
		}
	}
	return members
}

// Gatherers returns the gatherers that this host selected or, if it is a follower, got
// from its reader. The result must not be changed.
func (h *Hub) Gatherers() []gathering.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.gatherers
}

// Helpers returns hosts that may serve requests for one that can't reach the targets, spread
// over the failure domains: as a reader from the members that it knows, otherwise those that its
// reader named.
func (h *Hub) Helpers() []gathering.Member {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.freshUpstream().helpers) > 0 {
		return h.upstream.helpers
	}
	return h.selectHelpers()
}

// selectHelpers returns the helpers among the members that this host knows. The caller holds
// the lock.
func (h *Hub) selectHelpers() []gathering.Member {
	return slices.Compact(gathering.Select(h.allMembers(), gathering.MaxGatherers))
}

// ownMembers returns this host and its followers as candidates, at most as many as can
// become gatherers. The caller holds the lock.
func (h *Hub) ownMembers() []gathering.Member {
	members := []gathering.Member{h.self}
	for f := range h.followers {
		if !f.observe && f.member.Addr != "" {
			members = append(members, f.member)
		}
	}
	return gathering.Select(members, gathering.MaxGatherers)
}

// addMembers adds the members, gatherers and helpers to a message if they have changed since the
// last one, or if all is set. The caller holds the lock.
func (h *Hub) addMembers(m *message, all bool) {
	own := h.ownMembers()
	if all || !slices.Equal(own, h.sentMembers) {
		m.Members = own
	}
	if all || !slices.Equal(h.gatherers, h.sentGatherers) {
		m.Gatherers = h.gatherers
	}
	helpers := h.selectHelpers()
	if all || !slices.Equal(helpers, h.sentHelpers) {
		m.Helpers = helpers
	}
	if !all {
		h.sentMembers, h.sentGatherers, h.sentHelpers = own, h.gatherers, helpers
	}
}
