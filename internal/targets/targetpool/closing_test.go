package targetpool

import (
	"bufio"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// heldConn is a connection whose Close waits for release after it has closed closing.
type heldConn struct {
	net.Conn
	closing, release chan struct{}
}

func (c heldConn) Close() error {
	close(c.closing)
	<-c.release
	return c.Conn.Close()
}

// oneReplyDialer connects to a target that closes its first connection after a reply. The host's end
// of that connection is first.
type oneReplyDialer struct {
	first  heldConn
	dialed int
}

func (d *oneReplyDialer) Dial(string, time.Duration) (net.Conn, error) {
	d.dialed++
	if d.dialed > 1 {
		return echo.Connect(0, func() {}), nil
	}
	near, far := net.Pipe()
	d.first.Conn = near
	go func() {
		line, _ := bufio.NewReader(far).ReadString('\n')
		_, _ = far.Write([]byte(line))
		_ = far.Close()
	}()
	return d.first, nil
}

// TestConnectionThatEndsTakesNoCall guards against a request that is sent on an idle connection which
// the target has just closed, and that nothing ends before its deadline.
func TestConnectionThatEndsTakesNoCall(t *testing.T) {
	const limit = 5 * time.Second
	d := &oneReplyDialer{first: heldConn{closing: make(chan struct{}), release: make(chan struct{})}}
	p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: echo.Codec{}, Dialer: d, Log: discardLogger()})
	p.Resize(2, 0)
	t.Cleanup(p.Close)
	submit := func(id string) chan Outcome {
		done := make(chan Outcome, 1)
		deadline := time.Now().Add(time.Minute)
		go p.Submit(&Call{
			Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
			Done: func(o Outcome) { done <- o },
		})
		return done
	}
	require.NoError(t, (<-submit("first")).Err)
	<-d.first.closing
	second := submit("second")
	select {
	case o := <-second:
		require.NoError(t, o.Err)
		require.Equal(t, "second", o.Reply.ID)
	case <-time.After(limit):
		require.Fail(t, "the request has not ended")
	}
	close(d.first.release)
}
