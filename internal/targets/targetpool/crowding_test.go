package targetpool

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// congestedPool returns a pool with four connections, of which the target's congestion
// leaves two usable.
func congestedPool() *Pool {
	dialer := slotDialer{slots: make(chan struct{}, overloadSlots)}
	target := &catalog.Target{ID: "t", Service: "s", Addr: "t", Slots: overloadSlots}
	p := NewPool(target, &Options{Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger()})
	p.Resize(4, 4)
	time.Sleep(time.Second)
	p.mu.Lock()
	defer p.mu.Unlock()
	for range 60 {
		now := time.Now()
		p.stats.Sent(now)
		p.stats.Ended(now, replica.Exchange{Sent: now.Add(-4 * overloadWork), Expected: overloadWork, Work: overloadWork})
	}
	return p
}

// TestCallCancelledAtOnceTellsNothingAboutTheTarget guards against targets that look
// silent since the host gave up its calls.
func TestCallCancelledAtOnceTellsNothingAboutTheTarget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := congestedPool()
		defer time.Sleep(time.Minute)
		defer p.Close()
		before := p.Load(time.Now())
		call := &Call{Request: &exchange.Request{ID: "c"}, Deadline: time.Now().Add(time.Minute), Done: func(Outcome) {}}
		p.Submit(call)
		p.Cancel(call, 0)
		synctest.Wait()
		after := p.Load(time.Now())
		require.Zero(t, after.Outstanding)
		require.Equal(t, before.FailureRate, after.FailureRate)
		require.Zero(t, p.takeSample().Bad)
	})
}
