package catalogshare

import (
	"maps"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
)

// Hosts returns the number of hosts known in the fleet, this one included, and
// whether the reader that this host follows considers that number settled.
func (h *Hub) Hosts() (n int, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts(), h.freshUpstream().settled
}

// SetSettled sets whether this host considers its number of hosts settled. The value
// is sent to its followers.
func (h *Hub) SetSettled(settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = settled
}

// hosts returns the larger of the host's own sum and the count of the reader that
// it follows. The caller holds the lock.
func (h *Hub) hosts() int {
	sum := h.ownHosts()
	for _, other := range h.readerCounts {
		if time.Since(other.at) < countTTL {
			sum += other.hosts
		}
	}
	return max(sum, h.freshUpstream().hosts)
}

// freshUpstream returns the counts of the reader that this host follows, or none if they
// are older than countTTL. The caller holds the lock.
func (h *Hub) freshUpstream() upstreamCount {
	if time.Since(h.upstream.at) >= countTTL {
		return upstreamCount{}
	}
	return h.upstream
}

// ownHosts counts this host and its followers, without the readers that only
// observe it. The caller holds the lock.
func (h *Hub) ownHosts() int {
	n := 1
	for f := range h.followers {
		if !f.observe {
			n++
		}
	}
	return n
}

// recordReaderCounts stores the host counts in a message of another reader.
func (h *Hub) recordReaderCounts(addr string, m *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.readerCounts[addr] = hostCount{hosts: m.OwnHosts, domains: m.OwnDomains, members: h.membersOf(addr, m), at: time.Now()}
}

// membersOf returns the members of another reader: those in its message or, if it has
// none, those known. The caller holds the lock.
func (h *Hub) membersOf(addr string, m *message) []gathering.Member {
	if m.Members != nil {
		return m.Members
	}
	return h.readerCounts[addr].members
}

// recordUpstream stores the host counts and gatherers in a message of the reader that this host
// follows.
func (h *Hub) recordUpstream(m *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	helpers := h.upstream.helpers
	if m.Helpers != nil {
		helpers = m.Helpers
	}
	h.upstream = upstreamCount{hosts: m.Hosts, domains: m.Domains, settled: m.Settled, helpers: helpers, at: time.Now()}
	if m.Gatherers != nil {
		h.gatherers = m.Gatherers
	}
}

// Domains returns the number of known hosts by failure domain.
func (h *Hub) Domains() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.domains()
}

// domains returns the counts of the reader that this host follows, if it follows
// one, and its own sums otherwise. The caller holds the lock.
func (h *Hub) domains() map[string]int {
	if upstream := h.freshUpstream(); len(upstream.domains) > 0 {
		return maps.Clone(upstream.domains)
	}
	sum := h.ownDomains()
	for _, other := range h.readerCounts {
		if time.Since(other.at) >= countTTL {
			continue
		}
		for domain, n := range other.domains {
			sum[domain] += n
		}
	}
	return sum
}

// ownDomains is ownHosts by failure domain. The caller holds the lock.
func (h *Hub) ownDomains() map[string]int {
	n := map[string]int{h.self.FailureDomain: 1}
	for f := range h.followers {
		if !f.observe {
			n[f.domain]++
		}
	}
	return n
}
