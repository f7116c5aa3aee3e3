package catalogshare

import (
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/overload"
)

// maxPending bounds the entries that a reader passes on to the other readers at once.
const maxPending = 1024

// fleetDemand is what hosts offer to overloaded groups of targets. A reader sums up the
// reports of its followers and of the other readers, and tells the hosts that serve sweeps
// which shares are admitted. It is guarded by the hub's lock.
type fleetDemand struct {
	totals overload.Fleet
	// pending has the reports of this host and its followers since the last heartbeat,
	// which the other readers get.
	pending map[demandKey]overload.Entry
	// shares are those of the last heartbeat.
	shares []overload.Share
	// servers are the hosts that serve sweeps by address, nil for all.
	servers  map[string]bool
	onShares func([]overload.Share)
}

type demandKey struct {
	group  string
	stream overload.Stream
}

// OnFleetShares sets the function that is called with the fleet's shares. It must be set
// before the hub runs; the function must not block.
func (h *Hub) OnFleetShares(f func([]overload.Share)) { h.demand.onShares = f }

// SetSweepServers sets the hosts that serve sweeps and thus get the fleet's shares; none
// means all hosts.
func (h *Hub) SetSweepServers(members []gathering.Member) {
	var servers map[string]bool
	if len(members) > 0 {
		servers = make(map[string]bool, len(members))
	}
	for _, m := range members {
		servers[m.Addr] = true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand.servers = servers
}

// addDemand adds the report of this host or of a follower.
func (h *Hub) addDemand(entries []overload.Entry) {
	if len(entries) == 0 {
		return
	}
	entries = entries[:min(len(entries), overload.MaxEntries)]
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand.totals.Add(time.Now(), entries)
	if h.demand.pending == nil {
		h.demand.pending = map[demandKey]overload.Entry{}
	}
	for _, e := range entries {
		key := demandKey{group: e.Group, stream: e.Stream()}
		sum, ok := h.demand.pending[key]
		if !ok && len(h.demand.pending) >= maxPending {
			continue
		}
		e.Counts = e.Plus(sum.Counts)
		h.demand.pending[key] = e
	}
}

// addReaderDemand adds what another reader got from its followers.
func (h *Hub) addReaderDemand(entries []overload.Entry) {
	if len(entries) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.demand.totals.Add(time.Now(), entries[:min(len(entries), maxPending)])
}

// sendDemand sends the other readers the reports since the last heartbeat and the hosts
// that serve sweeps the shares, if there are any. The caller holds the lock.
func (h *Hub) sendDemand(now time.Time) {
	h.demand.shares = h.demand.totals.Shares(now)
	if len(h.demand.pending) > 0 {
		m := h.newMessage()
		for _, e := range h.demand.pending {
			m.Demand = append(m.Demand, e)
		}
		clear(h.demand.pending)
		h.multicast(m, func(f *follower) bool { return f.observe })
	}
	if len(h.demand.shares) > 0 {
		m := h.newMessage()
		m.FleetDemand = h.demand.shares
		h.multicast(m, h.getsShares)
	}
}

// getsShares reports whether a follower gets the fleet's shares.
func (h *Hub) getsShares(f *follower) bool {
	return !f.observe && (h.demand.servers == nil || h.demand.servers[f.member.Addr])
}

// notifyShares calls onShares if there are shares.
func (h *Hub) notifyShares(list []overload.Share) {
	if len(list) > 0 && h.demand.onShares != nil {
		h.demand.onShares(list)
	}
}

// fleetShares returns the shares of the last heartbeat.
func (h *Hub) fleetShares() []overload.Share {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.demand.shares
}
