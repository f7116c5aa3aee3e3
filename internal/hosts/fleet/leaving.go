package fleet

import (
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// marksMessage returns a message with all marks.
func (p *published) marksMessage(now time.Time) *marksMessage {
	return &marksMessage{Marks: wireMarks(p.marks, now)}
}

// setMark sets a mark from this host, publishes it and sends it to peers.
func (c *control) setMark(kind markKind, id string, leaving bool) {
	k, changed := c.marks.set(kind, id, leaving, c.listRevision(), c.now())
	if !changed {
		return
	}
	c.fleet.opts.Log.WithField("id", id).WithField("leaving", leaving).Info("leaving state of a target or host changed")
	c.publish()
	c.sendMarks([]mark{k})
}

// mergeMarks adds marks from a peer and forwards those that changed the table.
func (c *control) mergeMarks(from []mark) {
	updated := c.marks.merge(from, c.listRevision(), c.now())
	if len(updated) == 0 {
		return
	}
	c.publish()
	c.sendMarks(updated)
	c.refuteLeaving()
}

// refuteLeaving replaces a leaving mark for this host if this process is not
// leaving: the mark is from an earlier process of the same host.
func (c *control) refuteLeaving() {
	self := c.fleet.opts.Self.ID
	k, ok := c.marks.table[markKey{hostMark, string(self)}]
	if ok && k.Leaving && !c.leaving {
		c.setMark(hostMark, string(self), false)
	}
}

func (c *control) sendMarks(list []mark) {
	msg := &marksMessage{Marks: wireMarks(list, c.now())}
	for _, to := range c.randomPartners(c.fleet.opts.Fanout) {
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

// leave marks this host as leaving. acked receives a value once a peer has
// acknowledged, or immediately if this host has no partners.
func (c *control) leave(acked chan<- struct{}) {
	c.leaving = true
	c.setMark(hostMark, string(c.fleet.opts.Self.ID), true)
	ack := func() {
		select {
		case acked <- struct{}{}:
		default:
		}
	}
	if len(c.partners) == 0 {
		ack()
	}
	f := c.fleet
	msg := f.current.Load().marksMessage(c.now())
	for _, to := range c.partners {
		f.opts.Transport.Go(to, peer.KindLeaving, msg, c.deadline(f.opts.CallTimeout), func(_ cbor.RawMessage, err error) {
			if err == nil {
				ack()
			}
		})
	}
}
