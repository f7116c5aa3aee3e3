package targetpool

import (
	"bufio"
	"io"
	"net"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// checkingCodec is the echo codec with heads that end with a line and are invalid from
// a '!' on.
type checkingCodec struct{ echo.Codec }

func (checkingCodec) CheckHead(begin []byte) (bool, error) {
	for _, b := range begin {
		switch b {
		case '!':
			return false, io.ErrUnexpectedEOF
		case '\n':
			return true, nil
		}
	}
	return false, nil
}

// rawDialer connects to targets that reply to the first line with fixed bytes and stay
// silent then.
type rawDialer struct {
	reply string
	dials atomic.Int32
}

func (d *rawDialer) Dial(string, time.Duration) (net.Conn, error) {
	d.dials.Add(1)
	near, far := net.Pipe()
	go func() {
		requests := bufio.NewReader(far)
		if _, err := requests.ReadString('\n'); err == nil {
			_, _ = io.WriteString(far, d.reply)
		}
		_, _ = io.Copy(io.Discard, requests)
	}()
	return near, nil
}

// TestInvalidOrUnfinishedHeadEndsCallEarly guards against calls that wait up to their
// deadline for a target that sends no reply, or the beginning of one.
func TestInvalidOrUnfinishedHeadEndsCallEarly(t *testing.T) {
	for reply, within := range map[string]time.Duration{"!": 0, "no!": 0, "begin": headTimeout} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: checkingCodec{}, Dialer: &rawDialer{reply: reply}, Log: discardLogger()})
			done := make(chan Outcome, 1)
			began := time.Now()
			p.Submit(&Call{
				Request: &exchange.Request{ID: "r"}, Deadline: began.Add(time.Minute), OnTime: began.Add(time.Minute), Expected: echoTime,
				Done: func(o Outcome) { done <- o },
			})
			o := <-done
			require.Error(t, o.Err)
			require.Equal(t, verdict.Unknown, o.Verdict, "the request may have run")
			require.Equal(t, within, time.Since(began), reply)
			p.Close()
		})
	}
}

// TestHeadInPiecesIsReadAndDeadlineIsKept checks that the timeout for the head does not
// outlast it, and guards against one that replaces the time of a cancellation.
func TestHeadInPiecesIsReadAndDeadlineIsKept(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: checkingCodec{}, Dialer: &rawDialer{reply: "begin"}, Log: discardLogger()})
		p.Resize(1, 0)
		deadline := time.Now().Add(time.Minute)
		call := &Call{Request: &exchange.Request{ID: "r"}, Deadline: deadline, OnTime: deadline, Expected: echoTime, Done: func(Outcome) {}}
		p.Submit(call)
		time.Sleep(echoTime)
		p.Cancel(call, echoTime)
		time.Sleep(2 * echoTime)
		synctest.Wait()
		p.mu.Lock()
		require.Empty(t, p.conns, "the cancellation ends the connection before headTimeout")
		p.mu.Unlock()
		p.Close()
	})
}

// TestCancelBetweenAssignmentAndSendShortensDeadline guards against a send that replaces
// the time until which a cancelled call may continue by the call's deadline.
func TestCancelBetweenAssignmentAndSendShortensDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ended := make(chan time.Time, 1)
		near := echo.Connect(time.Minute, func() { ended <- time.Now() })
		p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: echo.Codec{}, Dialer: &rawDialer{}, Log: discardLogger()})
		c := newConn(p, near)
		p.conns[c] = true
		deadline := time.Now().Add(time.Minute)
		call := &Call{Request: &exchange.Request{ID: "r"}, Deadline: deadline, OnTime: deadline, Expected: echoTime, Done: func(Outcome) {}}
		p.mu.Lock()
		p.assign(c, call, time.Now())
		p.mu.Unlock()
		began := time.Now()
		p.Cancel(call, echoTime)
		c.send(call)
		go c.read()
		time.Sleep(2 * echoTime)
		synctest.Wait()
		p.mu.Lock()
		require.Empty(t, p.conns)
		p.mu.Unlock()
		require.WithinDuration(t, began, time.Now(), 3*echoTime)
		p.Close()
		_ = near.Close()
		<-ended
	})
}
