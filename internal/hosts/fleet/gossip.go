package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// rotateInterval is the time between replacements of one partner.
	rotateInterval = 30 * time.Second
	// jitterDivisor limits the jitter of an interval to interval/jitterDivisor.
	jitterDivisor = 4
	// peerStateRetention is how long the last state that a peer reported is kept.
	peerStateRetention = 10 * time.Minute
	// pullTimeout limits the pull of a whole document.
	pullTimeout = 5 * time.Second
)

// jitter returns d changed at random by up to a quarter.
func jitter(d time.Duration) time.Duration {
	return d - d/jitterDivisor + rand.N(2*d/jitterDivisor+1)
}

// digest returns the digest message for the published state.
func (p *published) digest() digestMessage {
	return digestMessage{
		Config: p.documents[configDocument].version,
		Hosts:  p.documents[hostListDocument].version,
		Marks:  p.marksHash,
	}
}

// swap starts a digest swap with a peer.
func (c *control) swap(to model.HostID) {
	f := c.fleet
	f.counters.swaps.Inc(1)
	msg := f.current.Load().digest()
	msg.ListConfirmedAgoMS = f.listConfirmedAgo()
	f.opts.Transport.Go(to, peer.KindDigest, &msg, c.deadline(f.opts.CallTimeout), func(raw cbor.RawMessage, err error) {
		e := digestSwapped{peer: to, err: err}
		if err == nil {
			e.err = peer.Decode(raw, &e.reply)
		}
		f.post(e)
	})
}

func (c *control) deadline(d time.Duration) time.Time { return time.Now().Add(d) }

// recordPeerState records the versions and the host list confirmation that a peer
// reported.
func (c *control) recordPeerState(from model.HostID, msg *digestMessage) {
	c.peers[from] = peerState{config: msg.Config, hosts: msg.Hosts, at: c.now()}
	c.confirmListFrom(msg)
}

// reconcile brings this host and a peer to the same state. The host that started
// the swap both pulls what it lacks and pushes what the peer lacks, so that the
// two converge even if connections can be opened in only one direction.
func (c *control) reconcile(with model.HostID, theirs *digestMessage) {
	c.reconcileDocument(configDocument, with, theirs.Config)
	c.reconcileDocument(hostListDocument, with, theirs.Hosts)
	if theirs.Marks != c.fleet.current.Load().marksHash {
		c.swapMarks(with)
	}
}

func (c *control) reconcileDocument(kind documentKind, with model.HostID, theirs version) {
	r := c.replica(kind)
	if theirs.conflicts(r.version) {
		c.fleet.counters.offered(kind, conflict)
	}
	switch {
	case r.wants(theirs):
		c.pull(kind, with)
	case r.version.newer(theirs):
		c.push(kind, with, theirs)
	}
}

// handleAnnouncement handles a one-way digest, which a peer sends on a change.
func (c *control) handleAnnouncement(from model.HostID, msg *digestMessage) {
	if msg.Delta != nil && (msg.DeltaOf == configDocument || msg.DeltaOf == hostListDocument) {
		c.applyContent(msg.DeltaOf, from, &pullReply{Delta: msg.Delta}, false)
	}
	for _, kind := range []documentKind{configDocument, hostListDocument} {
		theirs := msg.Config
		if kind == hostListDocument {
			theirs = msg.Hosts
		}
		if c.replica(kind).wants(theirs) {
			c.pull(kind, from)
		}
	}
}

// announce sends a change to a few peers without waiting for the next swap.
func (c *control) announce(kind documentKind) {
	f := c.fleet
	msg := f.current.Load().digest()
	if deltas := c.replica(kind).deltas; len(deltas) > 0 {
		last := deltas[len(deltas)-1]
		if last.To == c.replica(kind).version.Revision && deltaBytes(last) <= maxPushBytes {
			msg.Delta, msg.DeltaOf = last, kind
		}
	}
	for _, to := range c.randomPartners(f.opts.Fanout) {
		f.counters.announced.Inc(1)
		_ = f.opts.Transport.Send(to, peer.KindDigest, &msg)
	}
}

// refreshPartners updates the set of peers with which this host swaps digests: a
// random sample of all hosts, one of which is replaced each rotateInterval. It
// also removes expired peer states.
func (c *control) refreshPartners() {
	hosts := c.fleet.opts.Directory.hosts()
	known := make(map[model.HostID]bool, len(hosts))
	for _, h := range hosts {
		known[h.ID] = h.ID != c.fleet.opts.Self.ID
	}
	c.partners = slices.DeleteFunc(c.partners, func(id model.HostID) bool { return !known[id] })
	now := c.now()
	if len(c.partners) > 0 && len(hosts) > c.fleet.opts.Partners+1 && !now.Before(c.rotateAt) {
		c.rotateAt = now.Add(rotateInterval)
		c.dropPartner(c.partners[rand.N(len(c.partners))])
	}
	for _, id := range c.partners {
		known[id] = false
	}
	for _, i := range rand.Perm(len(hosts)) {
		if len(c.partners) >= c.fleet.opts.Partners {
			break
		}
		if id := hosts[i].ID; known[id] {
			c.partners = append(c.partners, id)
		}
	}
	for id, state := range c.peers {
		if now.Sub(state.at) > peerStateRetention {
			delete(c.peers, id)
		}
	}
}

// dropPartner removes a partner. The next refresh fills its place.
func (c *control) dropPartner(id model.HostID) {
	c.partners = slices.DeleteFunc(c.partners, func(other model.HostID) bool { return other == id })
}

func (c *control) randomPartner() (model.HostID, bool) {
	if len(c.partners) == 0 {
		return "", false
	}
	return c.partners[rand.N(len(c.partners))], true
}

// randomPartners returns up to n partners in random order.
func (c *control) randomPartners(n int) []model.HostID {
	list := slices.Clone(c.partners)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
