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

// joinState is how far a starting host is with asking its peers.
type joinState struct {
	// deadline is set once a peer to ask is known.
	deadline time.Time
	asked    int
	answered int
	failed   int
	done     bool
}

// catchUpState is how far a host is with asking its peers after a pause.
type catchUpState struct {
	since    time.Time
	asked    int
	answered int
	failed   int
}

// joinStep asks peers for newer revisions and ends the join once at least half
// of those asked have answered and what they had was pulled, or time is up.
func (c *control) joinStep() {
	j := &c.join
	if j.done {
		return
	}
	switch {
	case j.answered+j.failed < j.asked || c.isPulling():
	case j.asked > 0 && 2*j.answered >= j.asked, c.alone():
		j.done = true
	default:
		peers := c.somePartners(joinPeers)
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

// alone reports whether the host list names no other host.
func (c *control) alone() bool { return c.list != nil && len(c.partners) == 0 }

// swapEnded counts the answer to a digest swap towards a join or a catch-up.
func (c *control) swapEnded(answered bool) {
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
	peers := c.somePartners(catchUpPeers)
	c.catchUp = catchUpState{since: c.now(), asked: len(peers)}
	for _, to := range peers {
		c.swap(to)
	}
	c.catchUpStep()
}

// retryCatchUp starts over where an answer was lost.
func (c *control) retryCatchUp() {
	if c.fleet.pause.behind.Load() && c.now().Sub(c.catchUp.since) > 2*c.fleet.opts.CallTimeout {
		c.beginCatchUp()
	}
}

// catchUpStep ends the catch-up once a peer has answered and what it had was
// pulled, or none can be reached.
func (c *control) catchUpStep() {
	if !c.fleet.pause.behind.Load() || c.isPulling() {
		return
	}
	u := &c.catchUp
	if u.answered > 0 || u.failed >= u.asked {
		c.fleet.pause.behind.Store(false)
	}
}

// askHistory asks a peer for its memory of host lists until one has answered.
func (c *control) askHistory() {
	now := c.now()
	if c.historyKnown || now.Sub(c.historyAsked) < c.fleet.opts.CallTimeout {
		return
	}
	to, ok := c.randomPartner()
	if !ok {
		return
	}
	c.historyAsked = now
	f := c.fleet
	f.opts.Transport.Go(to, peer.KindHostList, &pullRequest{History: true}, c.deadline(pullTimeout), func(raw cbor.RawMessage, err error) {
		var reply pullReply
		if err == nil && peer.Decode(raw, &reply) == nil {
			f.post(historyReceived{record: reply.History})
		}
	})
}
