package target

import (
	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// Paths of the target protocol.
const (
	PathSearch = "/v1/search"
	PathCancel = "/v1/cancel"
	PathLoad   = "/v1/load"
	PathHealth = "/v1/health"
)

// ContentType is the media type of the protocol's bodies.
const ContentType = "application/cbor"

// MaxBatch bounds the exchanges of one request.
const MaxBatch = 4096

// SearchItem is one exchange in the body of a search.
type SearchItem struct {
	_ struct{} `cbor:",toarray"`
	// ExchangeID is echoed in the answer. It is unique among all hosts that use the
	// target.
	ExchangeID uint64
	RequestID  string
	Caller     model.CallerID
	Workload   model.WorkloadName
	Service    model.ServiceName
	Shard      model.ShardID
	Snapshot   model.SnapshotID
	Body       []byte
	Idempotent bool
	// TimeLeftMicros is the time until the deadline, in microseconds. The target
	// does not start an exchange whose deadline has passed.
	TimeLeftMicros int64
}

// AnswerItem is the answer to one SearchItem.
type AnswerItem struct {
	_          struct{} `cbor:",toarray"`
	ExchangeID uint64
	Status     Status
	// Reason is empty for StatusOK.
	Reason  verdict.Reason
	Message string
	// RetryAfterMS is the target's retry hint, in milliseconds.
	RetryAfterMS int64
	// Snapshot is the snapshot from which the answer was computed.
	Snapshot model.SnapshotID
	Body     []byte
	Load     subquery.Load
}

// codec decodes the protocol's bodies under its size limits. answerCodec also takes texts that are no
// UTF-8: the message of one answer must not make the others unreadable.
var (
	codec       = mustCodec(cbor.UTF8RejectInvalid)
	answerCodec = mustCodec(cbor.UTF8DecodeInvalid)
)

func mustCodec(texts cbor.UTF8Mode) cbor.DecMode {
	mode, err := cbor.DecOptions{
		UTF8:             texts,
		MaxArrayElements: MaxBatch,
		MaxMapPairs:      64,
		MaxNestedLevels:  8,
		DupMapKey:        cbor.DupMapKeyEnforcedAPF,
		IndefLength:      cbor.IndefLengthForbidden,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}

// Decode decodes the body of a request or answer under the protocol's size limits.
func Decode(body []byte, into any) (err error) {
	defer panics.Catch(&err)
	return codec.Unmarshal(body, into)
}

// decodeAnswers decodes the body of an answer.
func decodeAnswers(body []byte, into *[]AnswerItem) (err error) {
	defer panics.Catch(&err)
	return answerCodec.Unmarshal(body, into)
}

// Encode encodes the body of a request or answer.
func Encode(v any) ([]byte, error) { return cbor.Marshal(v) }
