package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// maxConcurrentPulls bounds the documents being encoded for peers at one time.
const maxConcurrentPulls = 4

// messageKind returns the kind that pulls and pushes a document.
func (k documentKind) messageKind() peer.Kind {
	if k == hostListDocument {
		return peer.KindHostList
	}
	return peer.KindConfigPull
}

// pull asks a peer for a document, unless a pull of it is under way.
func (c *control) pull(kind documentKind, from model.HostID) {
	if c.pullingNow(kind) {
		return
	}
	c.pullSince(kind, from, c.replica(kind).version)
}

// pullingNow reports whether a pull is under way. One whose end was lost no
// longer counts once its time is up.
func (c *control) pullingNow(kind documentKind) bool {
	began, ok := c.pulling[kind]
	return ok && c.now().Sub(began) <= pullTimeout
}

func (c *control) isPulling() bool {
	return c.pullingNow(configDocument) || c.pullingNow(hostListDocument)
}

// pullSince asks a peer for what changed since a version; the zero version
// stands for the whole document.
func (c *control) pullSince(kind documentKind, from model.HostID, have version) {
	c.pulling[kind] = c.now()
	f := c.fleet
	f.opts.Transport.Go(from, kind.messageKind(), &pullRequest{Have: have}, c.deadline(pullTimeout), func(raw cbor.RawMessage, err error) {
		e := contentReceived{kind: kind, from: from, err: err, pulled: true}
		if err == nil {
			e.err = peer.Decode(raw, &e.reply)
		}
		f.post(e)
	})
}

// push sends a peer what it lacks.
func (c *control) push(kind documentKind, to model.HostID, have version) {
	f := c.fleet
	document := f.current.Load().documents[kind]
	go func() {
		f.pulls <- struct{}{}
		defer func() { <-f.pulls }()
		_ = f.opts.Transport.Send(to, kind.messageKind(), document.since(have))
	}()
}

// since returns what a host that has a version lacks.
func (p *publishedDocument) since(have version) *pullReply {
	if d := deltaSince(p.deltas, have); d != nil {
		return &pullReply{Delta: d}
	}
	if p.doc == nil {
		return &pullReply{}
	}
	return &pullReply{Whole: &wireDocument{Revision: p.doc.Revision, Keys: p.doc.Keys}}
}

// take puts received content in force. If a pulled delta does not fit, the
// whole document is asked for.
func (c *control) take(kind documentKind, from model.HostID, content *pullReply, pulled bool) {
	source := "peer " + string(from)
	if content.Whole != nil {
		c.offer(kind, &config.Document{Revision: content.Whole.Revision, Keys: content.Whole.Keys}, source)
		return
	}
	if content.Delta == nil {
		return
	}
	r := c.replica(kind)
	before := r.version
	result, fits, err := r.apply(content.Delta, source, c.now())
	if fits {
		c.settled(kind, before, result, content.Delta.To, source, err)
		return
	}
	if pulled && r.wants(version{content.Delta.To, content.Delta.ToDigest}) {
		c.pullSince(kind, from, version{})
	}
}
