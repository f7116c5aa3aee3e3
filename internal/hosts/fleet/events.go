package fleet

import (
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// event is something the control goroutine acts on.
type event interface {
	apply(c *control)
}

// documentRead is a document that the platform returned.
type documentRead struct {
	kind documentKind
	doc  *config.Document
}

func (e documentRead) apply(c *control) {
	c.platformAt[e.kind] = c.now()
	c.offer(e.kind, e.doc, sourcePlatform)
	if e.kind == hostListDocument && e.doc.Revision == c.hosts.version.Revision {
		c.fleet.confirmList(c.now())
	}
}

// sourcePlatform is the source of documents that came from the platform.
const sourcePlatform = "platform"

// digestSwapped is the answer to a digest swap that this host began.
type digestSwapped struct {
	peer  model.HostID
	reply digestMessage
	err   error
}

func (e digestSwapped) apply(c *control) {
	if e.err != nil {
		c.fleet.counters.swapFailures.Inc(1)
		c.dropPartner(e.peer)
		c.swapEnded(false)
		return
	}
	c.heard(e.peer, &e.reply)
	c.reconcile(e.peer, &e.reply)
	c.swapEnded(true)
}

// digestReceived is a digest that a peer sent.
type digestReceived struct {
	from   model.HostID
	msg    digestMessage
	oneWay bool
}

func (e digestReceived) apply(c *control) {
	c.heard(e.from, &e.msg)
	if e.oneWay {
		c.announcement(e.from, &e.msg)
	}
}

// contentReceived is a document or delta, pulled by this host or pushed by a
// peer.
type contentReceived struct {
	kind   documentKind
	from   model.HostID
	reply  pullReply
	err    error
	pulled bool
}

func (e contentReceived) apply(c *control) {
	if e.pulled {
		delete(c.pulling, e.kind)
	}
	if e.err == nil {
		c.take(e.kind, e.from, &e.reply, e.pulled)
	}
	c.joinStep()
	c.catchUpStep()
}

// historyReceived is a peer's memory of host lists.
type historyReceived struct {
	record *historyRecord
}

func (e historyReceived) apply(c *control) {
	if e.record == nil {
		return
	}
	c.historyKnown = true
	c.history = c.history.withPeer(e.record, c.now(), c.fleet.opts.Retention)
	c.publish()
}

// marksReceived carries marks from a peer.
type marksReceived struct {
	marks []mark
}

func (e marksReceived) apply(c *control) { c.mergeMarks(e.marks) }

// markSet is word from this host about a target.
type markSet struct {
	kind    markKind
	id      string
	leaving bool
}

func (e markSet) apply(c *control) { c.setMark(e.kind, e.id, e.leaving) }

// leaveAsked makes this host leave. heard gets a value once a peer knows.
type leaveAsked struct {
	heard chan<- struct{}
}

func (e leaveAsked) apply(c *control) { c.leave(e.heard) }

// pauseSeen says that the process was paused.
type pauseSeen struct{}

func (pauseSeen) apply(c *control) { c.beginCatchUp() }

// statusAsked asks for the state of this host.
type statusAsked struct {
	answer func(*Status)
}

func (e statusAsked) apply(c *control) { e.answer(c.status()) }
