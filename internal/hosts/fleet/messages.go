package fleet

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// version identifies one version of a replicated document. The digest
// distinguishes documents with the same revision.
type version struct {
	Revision model.Revision `cbor:"1,keyasint"`
	Digest   uint64         `cbor:"2,keyasint"`
}

// newer reports whether v replaces w. Of two documents with the same revision,
// all hosts choose the one with the lower digest.
func (v version) newer(w version) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return w.Revision != 0 && v.Digest < w.Digest
}

// conflicts reports whether v and w are different documents with the same
// revision.
func (v version) conflicts(w version) bool {
	return v.Revision == w.Revision && v.Revision != 0 && v.Digest != w.Digest
}

// digestMessage summarizes a host's state, so that two hosts can compare theirs.
// With KindDigest it is both request and reply; sent one way it announces a
// change and carries its delta if that is small.
type digestMessage struct {
	Config version       `cbor:"1,keyasint"`
	Hosts  version       `cbor:"2,keyasint"`
	Marks  uint64        `cbor:"3,keyasint"`
	Delta  *config.Delta `cbor:"4,keyasint,omitempty"`
	// DeltaOf is the document that Delta changes.
	DeltaOf documentKind `cbor:"5,keyasint,omitempty"`
	// ListConfirmedAgoMS is the time in milliseconds, plus one, since the
	// platform last returned Hosts as the newest list; zero if it never did.
	ListConfirmedAgoMS int64 `cbor:"6,keyasint,omitempty"`
}

// documentKind is the kind of a replicated document.
type documentKind uint8

const (
	configDocument   documentKind = 1
	hostListDocument documentKind = 2
)

// String returns the kind's name in logs and counters.
func (k documentKind) String() string {
	if k == hostListDocument {
		return "host_list"
	}
	return "config"
}

// pullRequest asks for a document, given the version that the sender has. It is
// sent as KindConfigPull or KindHostList.
type pullRequest struct {
	Have version `cbor:"1,keyasint"`
	// History asks for the host lists of the retention window instead.
	History bool `cbor:"2,keyasint,omitempty"`
}

// pullReply carries a delta against the requester's version, the whole document,
// or the host list history.
type pullReply struct {
	Delta   *config.Delta  `cbor:"1,keyasint,omitempty"`
	Whole   *wireDocument  `cbor:"2,keyasint,omitempty"`
	History *historyRecord `cbor:"3,keyasint,omitempty"`
}

// wireDocument is the encoding of a config.Document between hosts.
type wireDocument struct {
	Revision model.Revision             `cbor:"1,keyasint"`
	Keys     map[string]json.RawMessage `cbor:"2,keyasint"`
}

// historyRecord is the encoding of a History between hosts.
type historyRecord struct {
	Lists []listAge `cbor:"1,keyasint"`
	// CompleteFor is the time since History.CompleteSince.
	CompleteFor time.Duration `cbor:"2,keyasint"`
}

// listAge is a host list with the time since it came into force.
type listAge struct {
	List *model.HostList `cbor:"1,keyasint"`
	Age  time.Duration   `cbor:"2,keyasint"`
}

// mark records that a target or host is leaving or serving.
type mark struct {
	ID   string   `cbor:"1,keyasint"`
	Kind markKind `cbor:"2,keyasint"`
	// Seq orders the marks of one ID; the highest takes precedence.
	Seq     uint64 `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint"`
	// Revision is the revision of the host list that was in force on the host
	// that set the mark.
	Revision model.Revision `cbor:"5,keyasint"`
	// Age is the time since the mark was set. It is used only in messages and is
	// zero in stored marks, which have at instead.
	Age time.Duration `cbor:"6,keyasint"`

	at time.Time
}

// markKind is the kind of subject of a mark.
type markKind uint8

const (
	targetMark markKind = 1
	hostMark   markKind = 2
)

// marksMessage carries marks. With KindLeaving it is both request and reply;
// sent one way it announces those that changed.
type marksMessage struct {
	Marks []mark `cbor:"1,keyasint"`
}
