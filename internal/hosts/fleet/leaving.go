package fleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// marksMessage returns all marks, for a peer.
func (p *published) marksMessage(now time.Time) *marksMessage {
	return &marksMessage{Marks: wireMarks(p.marks, now)}
}

// setMark notes word from this host and spreads it.
func (c *control) setMark(kind markKind, id string, leaving bool) {
	k, news := c.marks.set(kind, id, leaving, c.listRevision(), c.now())
	if !news {
		return
	}
	c.fleet.opts.Log.WithField("id", id).WithField("leaving", leaving).Info("a target or host changed state")
	c.publish()
	c.sendMarks([]mark{k})
}

// mergeMarks takes marks from a peer and passes on those that are news.
func (c *control) mergeMarks(from []mark) {
	news := c.marks.merge(from, c.listRevision(), c.now())
	if len(news) == 0 {
		return
	}
	c.publish()
	c.sendMarks(news)
	c.denyLeaving()
}

// denyLeaving overrules word that this host leaves if it does not: its last
// process left, and this one serves.
func (c *control) denyLeaving() {
	self := c.fleet.opts.Self.ID
	k, ok := c.marks.table[markKey{hostMark, string(self)}]
	if ok && k.Leaving && !c.leaving {
		c.setMark(hostMark, string(self), false)
	}
}

func (c *control) sendMarks(list []mark) {
	msg := &marksMessage{Marks: wireMarks(list, c.now())}
	for _, to := range c.somePartners(c.fleet.opts.Fanout) {
		_ = c.fleet.opts.Transport.Send(to, peer.KindLeaving, msg)
	}
}

// swapMarks exchanges all marks with a peer.
func (c *control) swapMarks(with model.HostID) {
	f := c.fleet
	f.opts.Transport.Go(with, peer.KindLeaving, f.current.Load().marksMessage(c.now()), c.deadline(f.opts.CallTimeout), func(raw cbor.RawMessage, err error) {
		var reply marksMessage
		if err == nil && peer.Decode(raw, &reply) == nil {
			f.post(marksReceived{marks: reply.Marks})
		}
	})
}

// leave marks this host as leaving. heard gets a value once a peer knows, or at
// once if there is no other host.
func (c *control) leave(heard chan<- struct{}) {
	c.leaving = true
	c.setMark(hostMark, string(c.fleet.opts.Self.ID), true)
	tell := func() {
		select {
		case heard <- struct{}{}:
		default:
		}
	}
	if len(c.partners) == 0 {
		tell()
	}
	f := c.fleet
	msg := f.current.Load().marksMessage(c.now())
	for _, to := range c.partners {
		f.opts.Transport.Go(to, peer.KindLeaving, msg, c.deadline(f.opts.CallTimeout), func(_ cbor.RawMessage, err error) {
			if err == nil {
				tell()
			}
		})
	}
}
