package targetpool

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

// The overload that playTarget gets: hosts with two connections each send to one target
// half as much again as its slots serve.
const (
	overloadHosts     = 6
	overloadConns     = 2
	overloadSlots     = 2
	overloadWork      = 20 * time.Millisecond
	overloadInterval  = overloadWork / overloadSlots * 2 / 3
	overloadObjective = 100 * time.Millisecond
	overloadLasts     = 6 * time.Second
)

// slotDialer connects to one target with slots.
type slotDialer struct{ slots chan struct{} }

func (d slotDialer) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			d.slots <- struct{}{}
			time.Sleep(overloadWork)
			<-d.slots
			if _, err := far.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// overloadOutcome counts the callers by what they got.
type overloadOutcome struct {
	mu                    sync.Mutex
	inTime, late, refused int
}

// playOverload sends calls to the hosts in turn and refuses those that would be late. work
// is what the hosts know of the time that a call takes which waits for nothing.
func playOverload(work time.Duration) *overloadOutcome {
	return playOverloadOn(slotDialer{slots: make(chan struct{}, overloadSlots)}, echo.Codec{}, work)
}

// playOverloadOn is playOverload with a given target.
func playOverloadOn(dialer Dialer, codec exchange.TargetCodec, work time.Duration) *overloadOutcome {
	pools := make([]*Pool, overloadHosts)
	for i := range pools {
		target := &catalog.Target{ID: "t", Service: "s", Addr: "t", Slots: overloadSlots}
		pools[i] = NewPool(target, &Options{Codec: codec, Dialer: dialer, Log: discardLogger()})
		pools[i].Resize(overloadConns, overloadConns)
	}
	time.Sleep(time.Second)
	outcome := &overloadOutcome{}
	for i := range int(overloadLasts / overloadInterval) {
		time.Sleep(overloadInterval)
		now := time.Now()
		pool := pools[i%len(pools)]
		if replica.QueueExceeds(pool.Load(now), 2*overloadWork, overloadObjective) {
			outcome.refused++
			continue
		}
		pool.Submit(&Call{
			Request: &exchange.Request{ID: fmt.Sprint(i)}, Deadline: now.Add(time.Second), OnTime: now.Add(overloadObjective),
			Expected: 2 * overloadWork, Work: work,
			Done: func(o Outcome) {
				outcome.mu.Lock()
				defer outcome.mu.Unlock()
				if o.Err == nil && o.Ended.Sub(now) <= overloadObjective {
					outcome.inTime++
				} else {
					outcome.late++
				}
			},
		})
	}
	time.Sleep(5 * time.Second)
	for _, p := range pools {
		p.Close()
	}
	time.Sleep(time.Minute)
	return outcome
}

// TestCallersAreServedInTimeWhileTargetIsOverloaded plays the same overload with and
// without knowledge of the target's congestion. With it, calls wait in the hosts, which
// refuse in time, and not at the target: few of the admitted callers are late, and nearly
// all that the slots can serve are in time.
func TestCallersAreServedInTimeWhileTargetIsOverloaded(t *testing.T) {
	outcomes := map[time.Duration]*overloadOutcome{}
	for _, work := range []time.Duration{0, overloadWork} {
		synctest.Test(t, func(*testing.T) { outcomes[work] = playOverload(work) })
	}
	blind, informed := outcomes[0], outcomes[overloadWork]
	t.Logf("in time, late, refused: %d, %d, %d blind, %d, %d, %d informed",
		blind.inTime, blind.late, blind.refused, informed.inTime, informed.late, informed.refused)
	served := int(overloadLasts / overloadWork * overloadSlots)
	require.Greater(t, informed.inTime, served*85/100)
	require.Greater(t, informed.inTime, blind.inTime)
	require.Less(t, informed.late, informed.inTime/10)
}
