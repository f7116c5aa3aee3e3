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
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
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
