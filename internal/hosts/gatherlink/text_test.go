package gatherlink

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// otherBytes are no UTF-8, but valid in a request line and in the value of a field.
const otherBytes = "\xe9\xff"

// appendFields appends the signatures as header lines.
func appendFields(dst []byte, a *exchange.Answer) []byte {
	if a.Relayed != nil {
		dst = append(append(dst, a.Relayed.Forward...), "Signature: "+a.Relayed.Signature+"\r\n"...)
	}
	if len(a.Signatures) > 0 {
		dst = append(dst, "Parts: "+strings.Join(a.Signatures, ", ")+"\r\n"...)
	}
	return dst
}

// oddAnswer returns the answer to a request with otherBytes in its signatures.
func oddAnswer(r *exchange.Request) *exchange.Answer {
	if r.ID == "relayed" {
		return &exchange.Answer{Status: 200, Relayed: &exchange.Reply{
			Status: 200, Signature: otherBytes, Forward: []byte("A: " + otherBytes + "\r\n"), Body: []byte("body"),
		}}
	}
	return &exchange.Answer{Status: 200, Signatures: []string{"s", r.ID + otherBytes}, Missing: 1, Body: []byte("body")}
}

// requireSameAnswer requires that a caller gets the same status, header lines and body.
func requireSameAnswer(t *testing.T, want, got *exchange.Answer) {
	t.Helper()
	require.NotNil(t, got)
	require.Equal(t, want.Status, got.Status)
	require.Equal(t, want.Missing, got.Missing)
	var fields []byte
	body := got.Body
	if got.Relayed != nil && got.Relayed.Signature == "" {
		fields, body = got.Relayed.Forward, got.Relayed.Body
	} else {
		fields = appendFields(nil, got)
	}
	require.Equal(t, string(appendFields(nil, want)), string(fields))
	require.Equal(t, []byte("body"), body)
}

// TestTextsWithoutUTF8ArePassedOnUnchanged guards against a signature of a target or a text of a
// caller that ends the link, and with it the requests of other callers.
func TestTextsWithoutUTF8ArePassedOnUnchanged(t *testing.T) {
	release := make(chan struct{})
	g := &fakeGatherer{accepts: true, gather: func(r *exchange.Request, _ <-chan struct{}) *exchange.Answer {
		if r.ID == "other caller" {
			<-release
			return &exchange.Answer{Status: 200, Body: []byte("records")}
		}
		return oddAnswer(r)
	}}
	member, _, _ := g.serve(t)
	c := newClient(t, member)
	other := make(chan *exchange.Answer)
	go func() { other <- c.Sweep(request("other caller"), route(), always, nil) }()
	require.Eventually(t, func() bool { return g.served() == 1 }, eventuallyTimeout, time.Millisecond)
	for _, id := range []string{"sweep", "relayed", "id" + otherBytes} {
		r := request(id)
		r.Method, r.Host, r.URI = "G"+otherBytes, "h"+otherBytes, "/x"+otherBytes
		requireSameAnswer(t, oddAnswer(r), c.Sweep(r, route(), always, nil))
		got := g.last()
		require.Equal(t, []string{r.ID, r.Method, r.Host, r.URI}, []string{got.ID, got.Method, got.Host, got.URI})
	}
	close(release)
	require.Equal(t, 200, (<-other).Status)
}

// last returns the request that arrived last.
func (g *fakeGatherer) last() *exchange.Request {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.requests[len(g.requests)-1]
}

// TestAnswersHaveOnlyTextsThatEarlierBuildsRead guards against an answer at which a host of an
// earlier build ends the link. Such a host decodes frames with the library's defaults.
func TestAnswersHaveOnlyTextsThatEarlierBuildsRead(t *testing.T) {
	for _, id := range []string{"sweep", "relayed"} {
		odd := oddAnswer(request(id))
		raw, err := encodeFrame(&frame{Kind: kindAnswer, ID: 1, Answer: answerOf(encodable(odd, appendFields))})
		require.NoError(t, err)
		var f frame
		require.NoError(t, cbor.Unmarshal(raw, &f), id)
		require.NoError(t, f.Answer.check(1))
		requireSameAnswer(t, odd, f.Answer.answer())
	}
}

// TestRequestThatEarlierBuildsCannotReadIsNotSentToThem guards against a request at which a host of
// an earlier build ends the link.
func TestRequestThatEarlierBuildsCannotReadIsNotSentToThem(t *testing.T) {
	c := newClient(t, serveFrames(t, func(sweep uint64) []byte {
		return marshalFrame(t, &frame{Kind: kindAnswer, ID: sweep, Answer: answerOf(&exchange.Answer{Status: 200})})
	}))
	odd := request("odd")
	odd.URI += otherBytes
	require.Nil(t, c.Sweep(odd, route(), always, nil), "this host serves it itself")
	require.Equal(t, 200, c.Sweep(request("sound"), route(), always, nil).Status)
}

// TestSignatureOfEarlierBuildIsRead guards against a link that ends at what a host of an earlier
// build took from a target.
func TestSignatureOfEarlierBuildIsRead(t *testing.T) {
	odd := oddAnswer(request("r"))
	c := newClient(t, serveFrames(t, func(sweep uint64) []byte {
		return marshalFrame(t, &frame{Kind: kindAnswer, ID: sweep, Answer: answerOf(odd)})
	}))
	requireSameAnswer(t, odd, c.Sweep(request("r"), route(), always, nil))
}

// otherID is the id of a request of another caller.
const otherID = 1000

// replaceNumber returns an encoded frame that has a text in place of the number at a key.
func replaceNumber(t *testing.T, raw []byte, key byte, number []byte) []byte {
	t.Helper()
	from := append([]byte{key}, number...)
	require.Equal(t, 1, bytes.Count(raw, from))
	return bytes.Replace(raw, from, []byte{key, 0x61, 'x'}, 1)
}

// TestAnswerThatCannotBeDecodedCostsOnlyItsRequest guards against one frame that ends the link, and
// with it the requests of other callers.
func TestAnswerThatCannotBeDecodedCostsOnlyItsRequest(t *testing.T) {
	c := newClient(t, serveFrames(t, func(sweep uint64) []byte {
		raw := marshalFrame(t, &frame{Kind: kindAnswer, ID: sweep, Answer: &answer{Status: 299}})
		return replaceNumber(t, raw, 1, []byte{0x19, 1, 43})
	}))
	c.mu.Lock()
	l := c.links[c.preferred[0].Addr]
	c.mu.Unlock()
	other := make(chan outcome, 1)
	l.mu.Lock()
	l.pending[otherID] = other
	l.mu.Unlock()
	a := c.Sweep(request("r"), route(), func() bool { return false }, nil)
	require.Equal(t, 502, a.Status)
	require.False(t, l.isEnded())
	select {
	case o := <-other:
		require.Fail(t, "the other request has ended", "%v", o.err)
	default:
	}
}

// TestRequestThatCannotBeDecodedIsRefused guards against one frame that ends the link, and with it
// the requests of other callers.
func TestRequestThatCannotBeDecodedIsRefused(t *testing.T) {
	g := &fakeGatherer{accepts: true, gather: answering(200)}
	member, _, _ := g.serve(t)
	conn, _, err := websocket.DefaultDialer.Dial("ws://"+member.Addr+Path, nil) //nolint:bodyclose // an upgrade's response has no body
	require.NoError(t, err)
	defer func() { _ = conn.Close() }()
	broken := passedRequestOf(request("r"), route(), request("r").Arrived)
	broken.Fingerprint = 299
	raw := marshalFrame(t, &frame{Kind: kindRequest, ID: 7, Request: broken})
	require.NoError(t, conn.WriteMessage(websocket.BinaryMessage, replaceNumber(t, raw, 10, []byte{0x19, 1, 43})))
	w := &frameWriter{conn: conn}
	require.NoError(t, w.write(&frame{Kind: kindRequest, ID: 8, Request: passedRequestOf(request("s"), route(), request("s").Arrived)}))
	kinds := map[uint64][]frameKind{}
	for len(kinds[8]) < 2 {
		f, err := readFrame(conn)
		require.NoError(t, err)
		kinds[f.ID] = append(kinds[f.ID], f.Kind)
	}
	require.Equal(t, []frameKind{kindRefused}, kinds[7])
	require.Equal(t, []frameKind{kindAccepted, kindAnswer}, kinds[8])
}

// TestFrameThatIsTooLargeIsNotSent guards against a request or an answer at which the other host
// ends the link.
func TestFrameThatIsTooLargeIsNotSent(t *testing.T) {
	large := make([]byte, maxFrameBytes)
	g := &fakeGatherer{accepts: true, gather: func(r *exchange.Request, _ <-chan struct{}) *exchange.Answer {
		if r.ID == "large answer" {
			return &exchange.Answer{Status: 200, Body: large}
		}
		return &exchange.Answer{Status: 200}
	}}
	member, _, _ := g.serve(t)
	c := newClient(t, member)
	r := request("large request")
	r.Body = large
	require.Nil(t, c.Sweep(r, route(), always, nil), "this host serves it itself")
	require.Equal(t, 502, c.Sweep(request("large answer"), route(), always, nil).Status)
	require.Equal(t, 200, c.Sweep(request("other"), route(), always, nil).Status)
	require.Equal(t, 2, g.served())
}
