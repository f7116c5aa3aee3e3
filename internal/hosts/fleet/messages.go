package fleet

import (
	"encoding/json"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/config"
	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// version names one state of a replicated document. Documents of one revision
// are told apart by digest.
type version struct {
	Revision model.Revision `cbor:"1,keyasint"`
	Digest   uint64         `cbor:"2,keyasint"`
}

// newer reports whether v replaces w. Of two documents under one revision, all
// hosts choose the one with the lower digest.
func (v version) newer(w version) bool {
	if v.Revision != w.Revision {
		return v.Revision > w.Revision
	}
	return w.Revision != 0 && v.Digest < w.Digest
}

// conflicts reports whether v and w are two documents under one revision.
func (v version) conflicts(w version) bool {
	return v.Revision == w.Revision && v.Revision != 0 && v.Digest != w.Digest
}

// digestMessage is what hosts swap to find out who has news. With KindDigest it
// is both request and reply; sent one way it announces a change, whose delta it
// carries if that is small.
type digestMessage struct {
	Config version       `cbor:"1,keyasint"`
	Hosts  version       `cbor:"2,keyasint"`
	Marks  uint64        `cbor:"3,keyasint"`
	Delta  *config.Delta `cbor:"4,keyasint,omitempty"`
	// DeltaOf says which document Delta is of.
	DeltaOf documentKind `cbor:"5,keyasint,omitempty"`
	// ListConfirmedAgoMS is how long ago the platform named Hosts as the newest
	// list, plus one; zero if it never did.
	ListConfirmedAgoMS int64 `cbor:"6,keyasint,omitempty"`
}

// documentKind names a replicated document.
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

// pullRequest asks for a document, given what the sender has. It travels as
// KindConfigPull or KindHostList.
type pullRequest struct {
	Have version `cbor:"1,keyasint"`
	// History asks for the host lists of the retention window instead.
	History bool `cbor:"2,keyasint,omitempty"`
}

// pullReply carries a delta on what the requester has, or the whole document.
type pullReply struct {
	Delta   *config.Delta  `cbor:"1,keyasint,omitempty"`
	Whole   *wireDocument  `cbor:"2,keyasint,omitempty"`
	History *historyRecord `cbor:"3,keyasint,omitempty"`
}

// wireDocument is a config.Document between hosts.
type wireDocument struct {
	Revision model.Revision             `cbor:"1,keyasint"`
	Keys     map[string]json.RawMessage `cbor:"2,keyasint"`
}

// historyRecord is a host's memory of host lists between hosts.
type historyRecord struct {
	Lists []listAge `cbor:"1,keyasint"`
	// CompleteFor is how long ago the memory begins.
	CompleteFor time.Duration `cbor:"2,keyasint"`
}

// listAge is a host list with the time since it came into force.
type listAge struct {
	List *model.HostList `cbor:"1,keyasint"`
	Age  time.Duration   `cbor:"2,keyasint"`
}

// mark is word that a target or host leaves or serves.
type mark struct {
	ID   string   `cbor:"1,keyasint"`
	Kind markKind `cbor:"2,keyasint"`
	// Seq orders the marks of one ID; the highest holds.
	Seq     uint64 `cbor:"3,keyasint"`
	Leaving bool   `cbor:"4,keyasint"`
	// Revision is the host list that was in force where the mark was made.
	Revision model.Revision `cbor:"5,keyasint"`
	// Age is the time since the mark was made. At rest it is zero.
	Age time.Duration `cbor:"6,keyasint"`

	at time.Time
}

// markKind says what a mark is about.
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
