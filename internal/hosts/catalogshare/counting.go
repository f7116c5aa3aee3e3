package catalogshare

import (
	"maps"
	"time"
)

// Hosts is the number of hosts in the fleet as far as this one knows, at least
// the one itself, and whether a reader that it follows counts on that number.
func (h *Hub) Hosts() (n int, settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.hosts(), h.toldSettled
}

// Settle notes whether the host itself counts on the number of hosts.
func (h *Hub) Settle(settled bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.settled = settled
}

func (h *Hub) hosts() int {
	sum := h.own()
	for _, other := range h.others {
		if time.Since(other.at) < countFor {
			sum += other.hosts
		}
	}
	return max(sum, h.told)
}

func (h *Hub) own() int {
	n := 1
	for f := range h.followers {
		if !f.observe {
			n++
		}
	}
	return n
}

// observed notes what another reader tells of itself.
func (h *Hub) observed(addr string, m *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.others[addr] = count{hosts: m.Own, domains: m.OwnDomains, at: time.Now()}
}

// tell notes what the upstream knows of the fleet.
func (h *Hub) tell(m *message) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.told, h.toldDomains, h.toldSettled = m.Hosts, m.Domains, m.Settled
}

// Domains is the number of hosts by failure domain as far as this one knows.
func (h *Hub) Domains() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.domains()
}

func (h *Hub) domains() map[string]int {
	if len(h.toldDomains) > 0 {
		return maps.Clone(h.toldDomains)
	}
	sum := h.ownDomains()
	for _, other := range h.others {
		if time.Since(other.at) >= countFor {
			continue
		}
		for domain, n := range other.domains {
			sum[domain] += n
		}
	}
	return sum
}

func (h *Hub) ownDomains() map[string]int {
	n := map[string]int{h.domain: 1}
	for f := range h.followers {
		if !f.observe {
			n[f.domain]++
		}
	}
	return n
}
