package targetpool

import (
	"bufio"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/platform"
)

// partDialer connects to a target that answers the first request of each connection with a part
// of a reply and then, unless it holds, closes the connection.
type partDialer struct {
	part  string
	holds bool
}

func (d partDialer) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		from := bufio.NewReader(far)
		_, _ = from.ReadString('\n')
		_, _ = far.Write([]byte(d.part))
		if d.holds {
			_, _ = from.ReadString('\n')
		}
		_ = far.Close()
	}()
	return near, nil
}

// TestConnectionThatTheTargetAcceptedIsNotRefused guards against sound requests that are refused
// since the first replies of new connections were broken or given up. The target's health
// learns of a broken reply.
func TestConnectionThatTheTargetAcceptedIsNotRefused(t *testing.T) {
	for name, tc := range map[string]struct {
		dialer    partDialer
		cancelled bool
		refused   bool
		bad       int
	}{
		"reply that breaks off":  {dialer: partDialer{part: "r"}, bad: 1},
		"reply that is given up": {dialer: partDialer{holds: true}, cancelled: true},
		"no byte":                {refused: true, bad: 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: echo.Codec{}, Dialer: tc.dialer, Log: discardLogger()})
				deadline := time.Now().Add(time.Second)
				done := make(chan Outcome, 1)
				call := &Call{
					Request: &exchange.Request{ID: "r"}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
					Done: func(o Outcome) { done <- o },
				}
				p.Submit(call)
				synctest.Wait()
				if tc.cancelled {
					p.Cancel(call, 0)
					synctest.Wait()
				} else {
					require.Equal(t, verdict.Unknown, (<-done).Verdict)
				}
				load := p.Load(time.Now())
				require.Equal(t, tc.refused, load.Unreachable)
				require.Equal(t, tc.refused, !p.connRefusedAt.IsZero())
				require.Equal(t, tc.bad, p.takeSample().Bad)
				p.Close()
				time.Sleep(time.Minute)
			})
		})
	}
}

// TestInvalidReplyCountsAgainstTheTarget guards against a target whose replies are invalid and that
// counts as healthy, or as lost.
func TestInvalidReplyCountsAgainstTheTarget(t *testing.T) {
	for _, reply := range []string{"HTTP/1.1 000 OK\r\nContent-Length: 0\r\n\r\n", "HTTP/1.1 200 OK\r\nA b: c\r\nContent-Length: 0\r\n\r\n"} {
		synctest.Test(t, func(t *testing.T) {
			p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{Codec: platform.TargetCodec{}, Dialer: &rawDialer{reply: reply}, Log: discardLogger()})
			deadline := time.Now().Add(time.Minute)
			done := make(chan Outcome, 1)
			p.Submit(&Call{
				Request: &exchange.Request{ID: "r", Method: "GET", URI: "/"}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
				Done: func(o Outcome) { done <- o },
			})
			o := <-done
			require.True(t, httpreply.IsInvalid(o.Err), "%v", o.Err)
			require.Equal(t, verdict.Unknown, o.Verdict)
			sample := p.takeSample()
			require.Equal(t, 1, sample.Bad)
			require.Zero(t, sample.Good)
			require.False(t, p.Load(time.Now()).Unreachable)
			p.Close()
			time.Sleep(time.Minute)
		})
	}
}
