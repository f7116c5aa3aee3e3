package peer

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// recordingHandler records the messages it receives and answers none.
type recordingHandler struct{ received chan *Inbound }

func newRecordingHandler() *recordingHandler {
	return &recordingHandler{received: make(chan *Inbound, 64)}
}

func (h *recordingHandler) handle(in *Inbound) { h.received <- in }

func (h *recordingHandler) next(t *testing.T) *Inbound {
	t.Helper()
	select {
	case in := <-h.received:
		return in
	case <-time.After(waitLimit):
		t.Fatal("no message arrived")
		return nil
	}
}

// startCall starts a call to b and returns the channel that gets its error.
func startCall(m *Mesh, deadline time.Time) (errs <-chan error, cancel func()) {
	results := make(chan error, 2)
	cancel = m.Go("b", KindClaim, &message{"x"}, deadline, func(_ cbor.RawMessage, err error) { results <- err })
	return results, cancel
}

func awaitError(t *testing.T, errs <-chan error) *verdict.Error {
	t.Helper()
	select {
	case err := <-errs:
		var refused *verdict.Error
		require.ErrorAs(t, err, &refused)
		return refused
	case <-time.After(waitLimit):
		t.Fatal("the call did not end")
		return nil
	}
}

func TestLostLinkEndsWrittenCallsAsUnknown(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	h := newRecordingHandler()
	b, _ := startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle})
	p := startProxy(t, b.Addr())
	addrs.set("b", p.listener.Addr().String())
	errs, _ := startCall(a, time.Time{})
	in := h.next(t)
	p.closeConns()
	err := awaitError(t, errs)
	require.Equal(t, verdict.Unknown, err.Verdict)
	require.Equal(t, verdict.PeerLinkLost, err.Reason)
	select {
	case <-in.Ctx.Done():
	case <-time.After(waitLimit):
		t.Fatal("the receiver's context did not end")
	}
}

func TestSilentLinkIsClosedAndLaterCallsUseANewLink(t *testing.T) {
	addrs := newAddressTable()
	quick := func(o *Options) { o.ProgressTimeout = 300 * time.Millisecond; o.DialTimeout = waitLimit }
	a, scope := startMesh(t, "a", addrs, quick, nil)
	b, _ := startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: echo})
	p := startProxy(t, b.Addr())
	addrs.set("b", p.listener.Addr().String())
	require.NoError(t, a.Call(t.Context(), "b", KindClaim, &message{"first"}, nil))
	p.startDiscarding()
	errs, _ := startCall(a, time.Time{})
	require.Equal(t, verdict.Unknown, awaitError(t, errs).Verdict)
	require.Equal(t, int64(1), scope.Snapshot().Counters()["peer.links_silent+"].Value())
	p.stopDiscarding()
	require.Eventually(t, func() bool {
		return a.Call(t.Context(), "b", KindClaim, &message{"again"}, nil) == nil
	}, waitLimit, 10*time.Millisecond)
}

func TestCancelEndsTheReceiversContext(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	h := newRecordingHandler()
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle})
	errs, cancel := startCall(a, time.Now().Add(time.Hour))
	in := h.next(t)
	require.False(t, in.Deadline.IsZero())
	cancel()
	err := awaitError(t, errs)
	require.Equal(t, verdict.Cancelled, err.Reason)
	require.Equal(t, verdict.Unknown, err.Verdict)
	select {
	case <-in.Ctx.Done():
		require.ErrorIs(t, in.Ctx.Err(), context.Canceled)
	case <-time.After(waitLimit):
		t.Fatal("the receiver's context did not end")
	}
	in.Reply(&message{"late"})
	cancel()
	require.Empty(t, errs)
}

func TestLateReplyDoesNotAffectOtherCalls(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	h := newRecordingHandler()
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle, KindOutcome: echo})
	errs, _ := startCall(a, time.Now().Add(200*time.Millisecond))
	in := h.next(t)
	err := awaitError(t, errs)
	require.Equal(t, verdict.DeadlinePassed, err.Reason)
	require.Equal(t, verdict.Unknown, err.Verdict)
	// The reply races with the cancel: b drops it, or a receives it for a call
	// that has ended. Either way the next call on the link must succeed.
	in.Reply(&message{"late"})
	var reply message
	require.NoError(t, a.Call(t.Context(), "b", KindOutcome, &message{"next"}, &reply))
	require.Equal(t, "next", reply.Text)
	require.Empty(t, errs)
}

func TestCallWithPassedDeadlineIsNotSent(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	h := newRecordingHandler()
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle, KindOutcome: echo})
	errs, _ := startCall(a, time.Now().Add(-time.Second))
	err := awaitError(t, errs)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.NoError(t, a.Call(t.Context(), "b", KindOutcome, &message{"next"}, nil))
	require.Empty(t, h.received)
}

func TestCallBeyondTheQueueLimitIsRefusedAtOnce(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, func(o *Options) { o.QueueMessages = 2 }, nil)
	h := newRecordingHandler()
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle})
	startCall(a, time.Time{})
	startCall(a, time.Time{})
	errs, _ := startCall(a, time.Time{})
	err := awaitError(t, errs)
	require.Equal(t, verdict.NotRun, err.Verdict)
	require.Equal(t, verdict.QueueFull, err.Reason)
}

func TestOutboxIsBoundedInBytes(t *testing.T) {
	o := newOutbox(10, 100)
	m := outMessage{envelope: envelope{Type: typeOneWay, Payload: make([]byte, 80)}}
	require.True(t, o.push(m))
	require.False(t, o.push(m))
	require.Len(t, o.take(), 1)
	m.envelope.Payload = make([]byte, 200)
	require.True(t, o.push(m), "an empty queue accepts one message of any size")
}

func TestWrongKeyIsRefusedAndCounted(t *testing.T) {
	addrs := newAddressTable()
	wrong := func(o *Options) { o.Keys = [][]byte{[]byte("fedcba9876543210fedcba9876543210")} }
	a, _ := startMesh(t, "a", addrs, wrong, nil)
	h := newRecordingHandler()
	_, scope := startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle})
	err := a.Call(t.Context(), "b", KindClaim, &message{}, nil)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Empty(t, h.received)
	require.Equal(t, int64(1), scope.Snapshot().Counters()["peer.handshake_refused+reason=wrong_key"].Value())
}

func TestTwoKeysAreValidDuringRotation(t *testing.T) {
	addrs := newAddressTable()
	newKey := []byte("fedcba9876543210fedcba9876543210")
	keys := func(list ...[]byte) func(*Options) { return func(o *Options) { o.Keys = list } }
	handlers := map[Kind]Handler{KindClaim: echo}
	onlyOld, _ := startMesh(t, "old", addrs, keys(testKey), handlers)
	both, _ := startMesh(t, "both", addrs, keys(newKey, testKey), handlers)
	onlyNew, _ := startMesh(t, "new", addrs, keys(newKey), handlers)
	require.NoError(t, onlyOld.Call(t.Context(), "both", KindClaim, &message{}, nil))
	require.NoError(t, both.Call(t.Context(), "old", KindClaim, &message{}, nil))
	require.NoError(t, both.Call(t.Context(), "new", KindClaim, &message{}, nil))
	require.NoError(t, onlyNew.Call(t.Context(), "both", KindClaim, &message{}, nil))
	require.Error(t, onlyOld.Call(t.Context(), "new", KindClaim, &message{}, nil))
}

func TestUnexpectedHostAtTheAddressIsRefused(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	c, scope := startMesh(t, "c", addrs, nil, map[Kind]Handler{KindClaim: echo})
	addrs.set("b", c.Addr())
	err := a.Call(t.Context(), "b", KindClaim, &message{}, nil)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.Equal(t, int64(1), scope.Snapshot().Counters()["peer.handshake_refused+reason=wrong_host"].Value())
}

func TestEachCallGetsItsOwnReplyWhileLinksClose(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	b, _ := startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: func(in *Inbound) { go echo(in) }})
	p := startProxy(t, b.Addr())
	addrs.set("b", p.listener.Addr().String())
	const callers, calls = 8, 300
	var wg sync.WaitGroup
	var ended, answered atomic.Int64
	for c := range callers {
		wg.Go(func() {
			for i := range calls {
				text := fmt.Sprintf("%d/%d", c, i)
				var reply message
				err := a.Call(context.Background(), "b", KindClaim, &message{text}, &reply)
				ended.Add(1)
				if err == nil {
					answered.Add(1)
					if reply.Text != text {
						t.Errorf("sent %q, got %q", text, reply.Text)
					}
				}
				if c == 0 && i%100 == 50 {
					p.closeConns()
				}
			}
		})
	}
	wg.Wait()
	require.Equal(t, int64(callers*calls), ended.Load())
	require.Positive(t, answered.Load())
}

func TestCloseEndsOpenCalls(t *testing.T) {
	addrs := newAddressTable()
	a, _ := startMesh(t, "a", addrs, nil, nil)
	h := newRecordingHandler()
	startMesh(t, "b", addrs, nil, map[Kind]Handler{KindClaim: h.handle})
	errs, _ := startCall(a, time.Time{})
	h.next(t)
	require.NoError(t, a.Close())
	require.Equal(t, verdict.Unknown, awaitError(t, errs).Verdict)
	require.Equal(t, verdict.NotRun, verdict.Of(a.Call(t.Context(), "b", KindClaim, &message{}, nil)))
}

func TestCallToSelfNeedsNoLink(t *testing.T) {
	a, _ := startMesh(t, "a", newAddressTable(), nil, map[Kind]Handler{KindClaim: echo})
	var reply message
	require.NoError(t, a.Call(t.Context(), "a", KindClaim, &message{"me"}, &reply))
	require.Equal(t, "me", reply.Text)
}

func FuzzDecodeFrame(f *testing.F) {
	payload, err := encodePayload(&message{"x"})
	require.NoError(f, err)
	f.Add([]byte{})
	seed, err := encMode.Marshal(&envelope{Type: typeCall, ID: 7, Kind: KindClaim, LeftMicros: 5, Payload: payload})
	require.NoError(f, err)
	f.Add(append(seed, seed...))
	f.Add(seed[:len(seed)-1])
	f.Fuzz(func(t *testing.T, frame []byte) {
		total := 0
		err := decodeFrame(frame, func(e *envelope) {
			total++
			if e.Type < typeCall || e.Type > typePong || e.LeftMicros < 0 {
				t.Fatalf("visited a bad envelope: %+v", e)
			}
			var m message
			_ = Decode(e.Payload, &m)
		})
		if err == nil && len(frame) > 0 && total == 0 {
			t.Fatal("a frame without envelopes was accepted")
		}
	})
}

func TestCloseRightAfterStartReturns(t *testing.T) {
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		for range 20 {
			m, _ := startMesh(t, "a", newAddressTable(), nil, nil)
			_ = m.Close()
		}
	}()
	select {
	case <-closed:
	case <-time.After(waitLimit):
		t.Error("Close did not return")
	}
}
