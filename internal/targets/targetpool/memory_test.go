package targetpool

import (
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/support/bytebudget"
)

// slowDialer connects to targets that read a byte a second and never reply.
type slowDialer struct{}

func (slowDialer) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		for {
			if _, err := far.Read(make([]byte, 1)); err != nil {
				return
			}
			time.Sleep(time.Second)
		}
	}()
	return near, nil
}

// TestRequestsHeldAtOneTargetAreBounded covers a target that reads slowly. It guards
// against sending it more than it can hold, however many connections it accepts.
func TestRequestsHeldAtOneTargetAreBounded(t *testing.T) {
	for _, limited := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			opts := &Options{Codec: echo.Codec{}, Dialer: slowDialer{}, Log: discardLogger()}
			if limited {
				opts.Memory = bytebudget.New(bytebudget.Options{Limit: 1 << 30})
			}
			p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, opts)
			p.Resize(8, 8)
			synctest.Wait()
			body := make([]byte, maxHeldRequestBytes/2-1)
			done := make(chan Outcome, 8)
			deadline := time.Now().Add(10 * time.Second)
			for range 4 {
				go p.Submit(&Call{
					Request: &exchange.Request{ID: strings.Repeat("r", 100), Body: body}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
					Done: func(o Outcome) { done <- o },
				})
			}
			synctest.Wait()
			p.mu.Lock()
			sent, waiting := p.inUse(), len(p.waiting)
			p.mu.Unlock()
			if limited {
				require.Equal(t, 2, sent)
				require.Equal(t, 2, waiting)
			} else {
				require.Equal(t, 4, sent)
			}
			// Calls that wait are sent or end once those before them have ended.
			for range 4 {
				require.Error(t, (<-done).Err)
			}
			p.mu.Lock()
			require.Zero(t, p.memory.held)
			p.mu.Unlock()
			p.Close()
			time.Sleep(2 * time.Second)
		})
	}
}

// TestRequestAboveTheBoundIsSentAlone guards against a request that never leaves.
func TestRequestAboveTheBoundIsSentAlone(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := NewPool(&catalog.Target{ID: "t-1", Addr: "t-1"}, &Options{
			Codec: echo.Codec{}, Dialer: echoDialer{ended: make(chan time.Time, 8)}, Log: discardLogger(),
			Memory: bytebudget.New(bytebudget.Options{Limit: 1 << 30}),
		})
		p.Resize(2, 2)
		done := make(chan Outcome, 2)
		deadline := time.Now().Add(time.Second)
		for range 2 {
			p.Submit(&Call{
				Request: &exchange.Request{ID: "r", Body: make([]byte, 2*maxHeldRequestBytes)}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
				Done: func(o Outcome) { done <- o },
			})
		}
		for range 2 {
			require.NoError(t, (<-done).Err)
		}
		p.Close()
	})
}
