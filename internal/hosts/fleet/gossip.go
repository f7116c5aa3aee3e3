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
	// rotateInterval is the time after which one partner is replaced.
	rotateInterval = 30 * time.Second
	// jitterShare is how far a jittered interval may differ, as a divisor.
	jitterShare = 4
	// peerMemory is how long a peer's word about itself is kept.
	peerMemory = 10 * time.Minute
	// pullTimeout bounds pulling a whole document.
	pullTimeout = 5 * time.Second
)

// jitter returns d, up to a quarter more or less.
func jitter(d time.Duration) time.Duration {
	return d - d/jitterShare + rand.N(2*d/jitterShare+1)
}

// digest returns this host's digest.
func (p *published) digest() digestMessage {
	return digestMessage{
		Config: p.documents[configDocument].version,
		Hosts:  p.documents[hostListDocument].version,
		Marks:  p.marksHash,
	}
}

// swap begins a digest swap with a peer.
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

// heard notes what a peer has.
func (c *control) heard(from model.HostID, msg *digestMessage) {
	c.peers[from] = peerState{config: msg.Config, hosts: msg.Hosts, at: c.now()}
	c.confirmListFrom(msg)
}

// reconcile brings this host and a peer to the same state. The host that began
// the swap does all of it, pulling what it lacks and pushing what the peer
// lacks: a cut in one direction leaves the other one working.
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

// announcement handles a one-way digest: a peer has news.
func (c *control) announcement(from model.HostID, msg *digestMessage) {
	if msg.Delta != nil && (msg.DeltaOf == configDocument || msg.DeltaOf == hostListDocument) {
		c.take(msg.DeltaOf, from, &pullReply{Delta: msg.Delta}, false)
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

// announce tells a few peers of a change at once.
func (c *control) announce(kind documentKind) {
	f := c.fleet
	msg := f.current.Load().digest()
	if deltas := c.replica(kind).deltas; len(deltas) > 0 {
		last := deltas[len(deltas)-1]
		if last.To == c.replica(kind).version.Revision && deltaBytes(last) <= maxPushBytes {
			msg.Delta, msg.DeltaOf = last, kind
		}
	}
	for _, to := range c.somePartners(f.opts.Fanout) {
		f.counters.announced.Inc(1)
		_ = f.opts.Transport.Send(to, peer.KindDigest, &msg)
	}
}

// refreshPartners keeps the set of peers that this host swaps digests with: a
// random few of all hosts, one of which is replaced now and then.
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
		if now.Sub(state.at) > peerMemory {
			delete(c.peers, id)
		}
	}
}

// dropPartner makes room for another partner, where the fleet has more.
func (c *control) dropPartner(id model.HostID) {
	c.partners = slices.DeleteFunc(c.partners, func(other model.HostID) bool { return other == id })
}

func (c *control) randomPartner() (model.HostID, bool) {
	if len(c.partners) == 0 {
		return "", false
	}
	return c.partners[rand.N(len(c.partners))], true
}

// somePartners returns up to n partners in random order.
func (c *control) somePartners(n int) []model.HostID {
	list := slices.Clone(c.partners)
	rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
	return list[:min(n, len(list))]
}
