package fleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

const (
	// joinPeers is how many peers a starting host asks for their revisions.
	joinPeers = 8
	// catchUpPeers is how many peers a host asks after a pause.
	catchUpPeers = 3
)

// joinState tracks the digest swaps of a starting host with its peers.
type joinState struct {
	// deadline is set when the first peer is asked.
	deadline time.Time
	asked    int
	answered int
	failed   int
	done     bool
}

// catchUpState tracks the digest swaps of a host with its peers after a pause.
type catchUpState struct {
	since    time.Time
	asked    int
	answered int
	failed   int
}

// joinStep asks peers for newer revisions. It ends the join once at least half
// of the asked peers have answered and no pull is in progress, if the host list
// names no other host, or at the deadline.
func (c *control) joinStep() {
	j := &c.join
	if j.done {
		return
	}
	switch {
	case j.answered+j.failed < j.asked || c.anyPullInProgress():
	case j.asked > 0 && 2*j.answered >= j.asked, c.hasNoPeers():
		j.done = true
	default:
		peers := c.randomPartners(joinPeers)
		j.asked, j.answered, j.failed = len(peers), 0, 0
		for _, to := range peers {
			c.swap(to)
		}
	}
	if j.asked > 0 && j.deadline.IsZero() {
		j.deadline = c.now().Add(c.fleet.opts.JoinTimeout)
	}
	if !j.deadline.IsZero() && !c.now().Before(j.deadline) {
		j.done = true
	}
	if j.done {
		c.publish()
	}
}

// hasNoPeers reports whether a host list is in force and no other host is known.
func (c *control) hasNoPeers() bool { return c.list != nil && len(c.partners) == 0 }

// recordSwapResult counts the result of a digest swap for the join and the
// catch-up.
func (c *control) recordSwapResult(answered bool) {
	if answered {
		c.join.answered++
		c.catchUp.answered++
	} else {
		c.join.failed++
		c.catchUp.failed++
	}
	c.joinStep()
	c.catchUpStep()
}

// beginCatchUp asks peers for newer revisions after a pause.
func (c *control) beginCatchUp() {
	peers := c.randomPartners(catchUpPeers)
	c.catchUp = catchUpState{since: c.now(), asked: len(peers)}
	for _, to := range peers {
		c.swap(to)
	}
	c.catchUpStep()
}

// retryCatchUp restarts a catch-up that did not end in time because an answer
// was lost.
func (c *control) retryCatchUp() {
	if c.fleet.pause.catchingUp.Load() && c.now().Sub(c.catchUp.since) > 2*c.fleet.opts.CallTimeout {
		c.beginCatchUp()
	}
}

// catchUpStep ends the catch-up once a peer has answered or all swaps have
// failed, and no pull is in progress.
func (c *control) catchUpStep() {
	if !c.fleet.pause.catchingUp.Load() || c.anyPullInProgress() {
		return
	}
	u := &c.catchUp
	if u.answered > 0 || u.failed >= u.asked {
		c.fleet.pause.catchingUp.Store(false)
	}
}

// requestHistory asks a peer for its host list history until one has answered.
func (c *control) requestHistory() {
	now := c.now()
	if c.historyKnown || now.Sub(c.historyRequestedAt) < c.fleet.opts.CallTimeout {
		return
	}
	to, ok := c.randomPartner()
	if !ok {
		return
	}
	c.historyRequestedAt = now
	f := c.fleet
	f.opts.Transport.Go(to, peer.KindHostList, &pullRequest{History: true}, c.deadline(pullTimeout), func(raw cbor.RawMessage, err error) {
		var reply pullReply
		if err == nil && peer.Decode(raw, &reply) == nil {
			f.post(historyReceived{record: reply.History})
		}
	})
}
