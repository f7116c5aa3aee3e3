package gatherlink

import (
	"cmp"
	"fmt"
	"sync"
	"time"

	"github.com/fasthttp/websocket"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
)

// Path is the path at which a Server accepts links.
const Path = "/gather"

const (
	// heartbeatInterval is the time between two heartbeats of a server on a link.
	heartbeatInterval = 500 * time.Millisecond
	// linkTimeout is how long a link may be silent before the client closes it.
	linkTimeout = 1300 * time.Millisecond
	// maxFrameBytes bounds one frame. It holds the largest bodies of requests and replies.
	maxFrameBytes = 64 << 20
	// writeTimeout bounds the writing of one frame.
	writeTimeout = time.Second
)

// frameKind is the type of a frame.
type frameKind uint8

const (
	// kindHeartbeat shows that the server's process runs.
	kindHeartbeat frameKind = iota
	// kindRequest asks for an answer to a request, kindCancel withdraws it.
	kindRequest
	kindCancel
	// kindAccepted and kindRefused answer a kindRequest at once; after the first follows
	// kindAnswer, or kindRefused if the request was not begun in time, unless it is
	// withdrawn.
	kindAccepted
	kindRefused
	kindAnswer
	// kindAsk asks what the server knows of targets that the client lost, and kindOpinions
	// answers it. Servers of earlier builds ignore the question.
	kindAsk
	kindOpinions
)

// frame is one message of a link.
type frame struct {
	Kind frameKind `cbor:"1,keyasint"`
	// ID identifies a request on its link.
	ID      uint64         `cbor:"2,keyasint,omitempty"`
	Request *passedRequest `cbor:"3,keyasint,omitempty"`
	Answer  *answer        `cbor:"4,keyasint,omitempty"`
	// ClockUS is the reading of the server's clock at a heartbeat, in microseconds.
	ClockUS int64 `cbor:"5,keyasint,omitempty"`
	// LostPerMille is, in a heartbeat, the share of its targets that the server can't reach,
	// in thousandths.
	LostPerMille int `cbor:"6,keyasint,omitempty"`
	// Losses are the targets of a kindAsk. Opinions has, in the same order, the answers.
	Losses   []Loss          `cbor:"7,keyasint,omitempty"`
	Opinions []reach.Opinion `cbor:"8,keyasint,omitempty"`
	// ReadsAnyText is set in a heartbeat of a server that reads texts which are no UTF-8.
	ReadsAnyText bool `cbor:"9,keyasint,omitempty"`
	// ChecksRoutes is set in a heartbeat of a server that compares the routes of all requests
	// with its own, not only those of sweeps.
	ChecksRoutes bool `cbor:"10,keyasint,omitempty"`
	// OtherRoute is set in a kindRefused if the server's route for the request differs.
	OtherRoute bool `cbor:"11,keyasint,omitempty"`
}

// passedRequest is a caller's request on its way to another host.
type passedRequest struct {
	RequestID string `cbor:"1,keyasint"`
	Method    string `cbor:"2,keyasint"`
	Host      string `cbor:"3,keyasint"`
	URI       string `cbor:"4,keyasint"`
	Forward   []byte `cbor:"5,keyasint,omitempty"`
	Body      []byte `cbor:"6,keyasint,omitempty"`
	HasBody   bool   `cbor:"7,keyasint,omitempty"`
	// CallerTimeoutUS is how long the caller waits, ElapsedUS how much of that has
	// passed, in microseconds.
	CallerTimeoutUS int64 `cbor:"8,keyasint"`
	ElapsedUS       int64 `cbor:"9,keyasint"`
	// Fingerprint identifies the route of a sweep, see catalog.Route. It is 0 for other
	// requests, which hosts of earlier builds expect.
	Fingerprint uint64 `cbor:"10,keyasint"`
	// BeginByUS is the reading of the server's clock after which it must refuse the
	// request, in microseconds; 0 for none.
	BeginByUS int64 `cbor:"11,keyasint,omitempty"`
	// ReservedUS is the part of the objective that is not left for the targets, in
	// microseconds.
	ReservedUS int64 `cbor:"12,keyasint,omitempty"`
	// Key 13 was in use; hosts of earlier builds may send it.

	// SingleFingerprint identifies the route of a request that is no sweep; 0 from hosts of
	// earlier builds.
	SingleFingerprint uint64 `cbor:"14,keyasint,omitempty"`
	// ConfigVersion is the version of the client's configuration.
	ConfigVersion int64 `cbor:"15,keyasint,omitempty"`
	// Route is the client's route if the server may serve the request by it although its own
	// differs; nil otherwise.
	Route *routeTerms `cbor:"16,keyasint,omitempty"`
}

// answer is the answer to a request.
type answer struct {
	Status       int             `cbor:"1,keyasint"`
	Signatures   []string        `cbor:"2,keyasint,omitempty"`
	Missing      int             `cbor:"3,keyasint,omitempty"`
	Body         []byte          `cbor:"4,keyasint,omitempty"`
	RetryAfterUS int64           `cbor:"5,keyasint,omitempty"`
	Reason       exchange.Reason `cbor:"6,keyasint,omitempty"`
	Trace        *exchange.Trace `cbor:"7,keyasint,omitempty"`
	CutOff       bool            `cbor:"8,keyasint,omitempty"`
	// Relayed is set if the answer is a target's reply, whose body it has.
	Relayed *relayedReply `cbor:"9,keyasint,omitempty"`
}

// relayedReply is what a caller gets of a target's reply, beside its status and body.
type relayedReply struct {
	Signature string `cbor:"1,keyasint,omitempty"`
	Forward   []byte `cbor:"2,keyasint,omitempty"`
}

func passedRequestOf(r *exchange.Request, route *catalog.Route, now time.Time) *passedRequest {
	passed := &passedRequest{
		RequestID: r.ID, Method: r.Method, Host: r.Host, URI: r.URI, Forward: r.Forward, Body: r.Body, HasBody: r.HasBody,
		CallerTimeoutUS: r.CallerTimeout.Microseconds(), ElapsedUS: now.Sub(r.Arrived).Microseconds(),
		ReservedUS: r.Reserved.Microseconds(),
	}
	if route.Sweep() {
		passed.Fingerprint = route.Fingerprint
		return passed
	}
	passed.SingleFingerprint = route.Fingerprint
	return passed
}

// request returns the caller's request as the other host serves it.
func (s *passedRequest) request(now time.Time) *exchange.Request {
	elapsed := bounds.Period(s.ElapsedUS, time.Microsecond)
	return &exchange.Request{
		ID: s.RequestID, Method: s.Method, Host: s.Host, URI: s.URI, Forward: s.Forward, Body: s.Body, HasBody: s.HasBody,
		CallerTimeout: bounds.Period(s.CallerTimeoutUS, time.Microsecond), Arrived: now.Add(-elapsed),
		Reserved: bounds.Period(s.ReservedUS, time.Microsecond),
	}
}

// route returns what the client says of its route.
func (s *passedRequest) route() exchange.PassedRoute {
	passed := exchange.PassedRoute{Fingerprint: cmp.Or(s.SingleFingerprint, s.Fingerprint), Version: s.ConfigVersion}
	if s.Route != nil {
		passed.Terms = s.Route.route()
	}
	return passed
}

func answerOf(a *exchange.Answer) *answer {
	to := &answer{
		Status: a.Status, Signatures: a.Signatures, Missing: a.Missing, Body: a.Body,
		RetryAfterUS: a.RetryAfter.Microseconds(), Reason: a.Reason, Trace: a.Trace, CutOff: a.CutOff,
	}
	if a.Relayed != nil {
		to.Body = a.Relayed.Body
		to.Relayed = &relayedReply{Signature: a.Relayed.Signature, Forward: a.Relayed.Forward}
	}
	return to
}

func (a *answer) answer() *exchange.Answer {
	to := &exchange.Answer{
		Status: a.Status, Signatures: a.Signatures, Missing: a.Missing, Body: a.Body,
		RetryAfter: bounds.Period(a.RetryAfterUS, time.Microsecond), Reason: a.Reason, Trace: boundedTrace(a.Trace), CutOff: a.CutOff,
	}
	if a.Relayed != nil {
		to.Body = nil
		to.Relayed = &exchange.Reply{Status: a.Status, Signature: a.Relayed.Signature, Forward: a.Relayed.Forward, Body: a.Body}
	}
	return to
}

// check returns an error if the answer to a request of so many shards has a part that no reply may
// have. Hosts of earlier builds pass on what they took from a target unchecked.
func (a *answer) check(shards int) error {
	if !httpreply.IsFinal(a.Status) {
		return fmt.Errorf("the answer has the status %d", a.Status)
	}
	if a.Missing < 0 || a.Missing > shards {
		return fmt.Errorf("the answer lacks %d of %d shards", a.Missing, shards)
	}
	for _, signature := range a.Signatures {
		if !httpreply.ValidText(signature) {
			return fmt.Errorf("the answer has the signature %q", signature)
		}
	}
	if a.Relayed == nil {
		return nil
	}
	if !httpreply.ValidText(a.Relayed.Signature) {
		return fmt.Errorf("the answer has the signature %q", a.Relayed.Signature)
	}
	return httpreply.CheckForwarded(a.Relayed.Forward)
}

// frameWriter writes frames to a link from several goroutines.
type frameWriter struct {
	mu   sync.Mutex
	conn *websocket.Conn
}

// write encodes and writes a frame.
func (w *frameWriter) write(f *frame) error {
	raw, err := encodeFrame(f)
	if err != nil {
		return err
	}
	return w.writeRaw(raw)
}

// writeRaw writes an encoded frame.
func (w *frameWriter) writeRaw(raw []byte) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if err := w.conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return w.conn.WriteMessage(websocket.BinaryMessage, raw)
}

func readFrame(conn *websocket.Conn) (*frame, error) {
	_, raw, err := conn.ReadMessage()
	if err != nil {
		return nil, err
	}
	return decodeFrame(raw)
}
