package targetpool

import (
	"hash/maphash"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// rememberedReplies is the number of earlier replies of a connection against which one
// without a request id is compared. A late copy follows its original closely.
const rememberedReplies = 4

// replySeed seeds the hashes of this process.
var replySeed = maphash.MakeSeed()

// replyMark identifies a signed reply and its request by their hashes.
type replyMark struct{ signature, request uint64 }

// replyHistory holds the last signed replies on one connection. It recognises second
// copies of replies that carry no request id: a signature belongs to one request.
type replyHistory struct {
	marks [rememberedReplies]replyMark
	next  int
}

func markOf(reply *exchange.Reply, request *exchange.Request) replyMark {
	return replyMark{signature: maphash.String(replySeed, reply.Signature), request: maphash.String(replySeed, request.ID)}
}

// belongsToOther reports whether the reply is that of another request than the one in
// flight: by its request id or, without one, since an earlier request had the same reply.
func (h *replyHistory) belongsToOther(reply *exchange.Reply, request *exchange.Request) bool {
	if reply.ID != "" {
		return reply.ID != request.ID
	}
	if reply.Signature == "" {
		return false
	}
	mark := markOf(reply, request)
	for _, earlier := range h.marks {
		if earlier.signature == mark.signature && earlier.request != mark.request && earlier != (replyMark{}) {
			return true
		}
	}
	return false
}

// add records the reply to a request. A reply with an id needs no record.
func (h *replyHistory) add(reply *exchange.Reply, request *exchange.Request) {
	if reply.ID != "" || reply.Signature == "" {
		return
	}
	h.marks[h.next] = markOf(reply, request)
	h.next = (h.next + 1) % rememberedReplies
}

// identifiable reports whether a later copy of the reply can be told from a reply to
// another request. After one that can't, the connection must not be used again.
func identifiable(reply *exchange.Reply) bool { return reply.ID != "" || reply.Signature != "" }
