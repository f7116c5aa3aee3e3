package fleet

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// maxConcurrentPulls limits the documents that are encoded for peers
// concurrently.
const maxConcurrentPulls = 4

// messageKind returns the kind of the messages that pull and push a document.
func (k documentKind) messageKind() peer.Kind {
	if k == hostListDocument {
		return peer.KindHostList
	}
	return peer.KindConfigPull
}

// pull asks a peer for a document, unless a pull of it is in progress.
func (c *control) pull(kind documentKind, from model.HostID) {
	if c.pullInProgress(kind) {
		return
	}
	c.pullSince(kind, from, c.replica(kind).version)
}

// pullInProgress reports whether a pull is in progress. A pull whose completion
// event was lost no longer counts after pullTimeout.
func (c *control) pullInProgress(kind documentKind) bool {
	began, ok := c.pullStartedAt[kind]
	return ok && c.now().Sub(began) <= pullTimeout
}

func (c *control) anyPullInProgress() bool {
	return c.pullInProgress(configDocument) || c.pullInProgress(hostListDocument)
}

// pullSince asks a peer for the changes since the version have. The zero version
// asks for the whole document.
func (c *control) pullSince(kind documentKind, from model.HostID, have version) {
	c.pullStartedAt[kind] = c.now()
	f := c.fleet
	f.opts.Transport.Go(from, kind.messageKind(), &pullRequest{Have: have}, c.deadline(pullTimeout), func(raw cbor.RawMessage, err error) {
		e := contentReceived{kind: kind, from: from, err: err, pulled: true}
		if err == nil {
			e.err = peer.Decode(raw, &e.reply)
		}
		f.post(e)
	})
}

// push sends a peer the changes since the version that it has.
func (c *control) push(kind documentKind, to model.HostID, have version) {
	f := c.fleet
	document := f.current.Load().documents[kind]
	go func() {
		f.pullSlots <- struct{}{}
		defer func() { <-f.pullSlots }()
		_ = f.opts.Transport.Send(to, kind.messageKind(), document.since(have))
	}()
}

// since returns the changes since the version have: a delta if one is available,
// and the whole document otherwise.
func (p *publishedDocument) since(have version) *pullReply {
	if d := deltaSince(p.deltas, have); d != nil {
		return &pullReply{Delta: d}
	}
	if p.doc == nil {
		return &pullReply{}
	}
	return &pullReply{Whole: &wireDocument{Revision: p.doc.Revision, Keys: p.doc.Keys}}
}

// applyContent offers received content to the replica. If a pulled delta cannot
// be applied and the replica wants its version, the whole document is requested.
func (c *control) applyContent(kind documentKind, from model.HostID, content *pullReply, pulled bool) {
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
	result, applied, err := r.apply(content.Delta, source, c.now())
	if applied {
		c.finishOffer(kind, before, result, content.Delta.To, source, err)
		return
	}
	if pulled && r.wants(version{content.Delta.To, content.Delta.ToDigest}) {
		c.pullSince(kind, from, version{})
	}
}
