package fleet

import (
	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// event is a change or request that the control goroutine applies to its state.
type event interface {
	apply(c *control)
}

// documentRead reports a document that the platform returned.
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

// sourcePlatform is the source of documents read from the platform.
const sourcePlatform = "platform"

// digestSwapped reports the result of a digest swap that this host started.
type digestSwapped struct {
	peer  model.HostID
	reply digestMessage
	err   error
}

func (e digestSwapped) apply(c *control) {
	if e.err != nil {
		c.fleet.counters.swapFailures.Inc(1)
		c.dropPartner(e.peer)
		c.recordSwapResult(false)
		return
	}
	c.recordPeerState(e.peer, &e.reply)
	c.reconcile(e.peer, &e.reply)
	c.recordSwapResult(true)
}

// digestReceived reports a digest that a peer sent.
type digestReceived struct {
	from   model.HostID
	msg    digestMessage
	oneWay bool
}

func (e digestReceived) apply(c *control) {
	c.recordPeerState(e.from, &e.msg)
	if e.oneWay {
		c.handleAnnouncement(e.from, &e.msg)
	}
}

// contentReceived reports a document or delta that this host pulled, or the
// failure of the pull, or content that a peer pushed.
type contentReceived struct {
	kind   documentKind
	from   model.HostID
	reply  pullReply
	err    error
	pulled bool
}

func (e contentReceived) apply(c *control) {
	if e.pulled {
		delete(c.pullStartedAt, e.kind)
	}
	if e.err == nil {
		c.applyContent(e.kind, e.from, &e.reply, e.pulled)
	}
	c.joinStep()
	c.catchUpStep()
}

// historyReceived reports a peer's host list history.
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

// marksReceived reports marks from a peer.
type marksReceived struct {
	marks []mark
}

func (e marksReceived) apply(c *control) { c.mergeMarks(e.marks) }

// localMark requests a mark that this host sets itself.
type localMark struct {
	kind    markKind
	id      string
	leaving bool
}

func (e localMark) apply(c *control) { c.setMark(e.kind, e.id, e.leaving) }

// leaveRequested makes this host leave. acked receives a value once a peer has
// acknowledged.
type leaveRequested struct {
	acked chan<- struct{}
}

func (e leaveRequested) apply(c *control) { c.leave(e.acked) }

// pauseDetected reports that the process was paused.
type pauseDetected struct{}

func (pauseDetected) apply(c *control) { c.beginCatchUp() }

// statusRequested asks for the status of this host.
type statusRequested struct {
	answer func(*Status)
}

func (e statusRequested) apply(c *control) { e.answer(c.status()) }
