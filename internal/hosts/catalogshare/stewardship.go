package catalogshare

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/warmup"
)

// issueInterval is how long an issued list is current if no host links to this one. Each
// new list costs time that grows with the number of followers.
const issueInterval = 200 * time.Millisecond

// Stewardship says which lists of stewards a reader issues.
type Stewardship struct {
	// Permits is the greatest number of permits of any service, 0 if this host issues no list.
	// LeastPermits is the least one.
	Permits      int
	LeastPermits int
	// Hosts is the number of hosts that are assumed at least.
	Hosts int
	// Gathers is set if the fleet has gatherers.
	Gathers bool
}

// issuing is the state of a host that issues lists of stewards. The hub's lock guards it.
type issuing struct {
	stewardship Stewardship
	issuer      warmup.Issuer
	// list was issued last, with its generation, at the time at, when this host had accepted
	// issuedJoins links. A generation of 0 means that it must be renewed.
	list        warmup.List
	generation  uint64
	at          time.Time
	issuedJoins uint64
	// joins is the number of links that this host has accepted.
	joins uint64
}

// SetStewardship sets which lists this host issues.
func (h *Hub) SetStewardship(s Stewardship) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if s != h.issuing.stewardship {
		h.issuing.stewardship, h.issuing.generation = s, 0
	}
}

// issueStewards returns the current list and its generation, 0 if this host issues none. The
// list counts at least this host and its followers: it is renewed after each new link. The
// caller holds the lock.
func (h *Hub) issueStewards(now time.Time) (warmup.List, uint64) {
	i := &h.issuing
	if i.stewardship.Permits <= 0 {
		return warmup.List{}, 0
	}
	if i.generation == 0 || i.issuedJoins != i.joins || now.Sub(i.at) >= issueInterval {
		i.list, i.at, i.issuedJoins = h.stewardList(), now, i.joins
		i.generation = i.issuer.Issue(i.list)
	}
	return i.list, i.generation
}

// stewardList returns the list that follows from the hosts known now. It names stewards only
// where a service needs them, since each change of a list suspends its use. The caller holds the
// lock.
func (h *Hub) stewardList() warmup.List {
	var list warmup.List
	stewardship := h.issuing.stewardship
	hosts := max(h.hosts(), stewardship.Hosts)
	if hosts <= stewardship.Permits {
		list.Hosts = hosts
	}
	if hosts > stewardship.LeastPermits {
		list.Stewards = addrsOf(gathering.Select(h.allMembers(), warmup.MaxStewards))
	}
	if stewardship.Gathers {
		list.Gatherers = addrsOf(h.gatherers)
	}
	return list
}

// addrsOf returns the addresses of members that are sorted by it, each once.
func addrsOf(members []gathering.Member) []string {
	addrs := make([]string, 0, len(members))
	for _, m := range members {
		addrs = append(addrs, m.Addr)
	}
	return slices.Compact(addrs)
}
