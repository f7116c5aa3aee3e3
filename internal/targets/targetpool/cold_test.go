package targetpool

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
)

const (
	// coldShare is this host's share of a cold target: (10*1.5+3)/3, as the only host.
	coldShare  = 6
	coldPerS   = 10
	coldWarmup = 8 * time.Second
)

// coldCodec is the echo codec of a target whose replies to requests with an id that begins
// with "cold" say that it is cold for 4 s, and with "warm" that it is not.
type coldCodec struct{ echo.Codec }

func (c coldCodec) ReadReply(in *bufio.Reader, bodyless bool) (*exchange.Reply, error) {
	reply, err := c.Codec.ReadReply(in, bodyless)
	if err == nil && strings.HasPrefix(reply.ID, "cold") {
		reply.Warmup, reply.StatesWarmup = 4*time.Second, true
	}
	if err == nil && strings.HasPrefix(reply.ID, "warm") {
		reply.StatesWarmup = true
	}
	return reply, err
}

// coldDialer connects to the target unless its process is gone.
type coldDialer struct{ gone atomic.Bool }

func (d *coldDialer) Dial(string, time.Duration) (net.Conn, error) {
	if d.gone.Load() {
		return nil, syscall.ECONNREFUSED
	}
	return echo.Connect(echoTime, nil), nil
}

// coldDirectory is a directory of one service with one target.
type coldDirectory struct {
	*Directory
	t        *testing.T
	dialer   *coldDialer
	mu       sync.Mutex
	list     *warmup.List
	revision int64
}

func newColdDirectory(t *testing.T, perSecond float64, target *catalog.Target) *coldDirectory {
	d := &coldDirectory{t: t, dialer: &coldDialer{}, list: &warmup.List{Hosts: 1}}
	d.Directory = NewDirectory(Options{
		Codec: coldCodec{}, Dialer: d.dialer, Log: discardLogger(), Host: "h",
		Cold: ColdOptions{Over: 1.5, Slack: 3, Addr: "h", Stewards: func(time.Time) *warmup.List {
			d.mu.Lock()
			defer d.mu.Unlock()
			return d.list
		}},
	})
	d.SetFleet(Fleet{Hosts: 1})
	d.update(perSecond, target)
	return d
}

// update publishes a view with the target, nil for none.
func (d *coldDirectory) update(perSecond float64, target *catalog.Target) {
	d.revision++
	services := map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 4, Warmup: coldWarmup, WarmupPerSecond: perSecond}}
	targets := map[catalog.TargetID]*catalog.Target{}
	if target != nil {
		targets[target.ID] = target
	}
	d.Update(catalog.NewView(catalog.NewConfig(d.revision, nil, services, catalog.Limits{}), catalog.Position{Revision: d.revision}, targets))
}

func (d *coldDirectory) setList(list *warmup.List) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.list = list
}

func (d *coldDirectory) pool() *Pool { return d.Snapshot().Group("s").Pools[0] }

// submit submits a call and returns the channel of its outcome.
func (d *coldDirectory) submit(id string) chan Outcome {
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(10 * time.Second)
	d.pool().Submit(&Call{
		Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
		Done: func(o Outcome) { done <- o },
	})
	return done
}

// flood submits calls for a time and returns when those were sent that were.
func (d *coldDirectory) flood(lasts time.Duration) (sent []time.Time, held int) {
	var outcomes []chan Outcome
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		outcomes = append(outcomes, d.submit(fmt.Sprint("r-", len(outcomes))))
	}
	for _, done := range outcomes {
		o := <-done
		if o.Err == nil {
			sent = append(sent, o.Sent)
			continue
		}
		require.ErrorIs(d.t, o.Err, ErrWarming)
		require.Equal(d.t, verdict.NotRun, o.Verdict)
		held++
	}
	return sent, held
}

func bornNow() *catalog.Target {
	return &catalog.Target{ID: "t", Service: "s", Addr: "t", Born: time.Now().UnixMilli(), Revision: 1}
}

func bornLongAgo() *catalog.Target {
	return &catalog.Target{ID: "t", Service: "s", Addr: "t", Born: 1, Revision: 1}
}

// coldTest runs a test with a directory and closes its pools.
func coldTest(t *testing.T, perSecond float64, target func() *catalog.Target, test func(d *coldDirectory)) {
	synctest.Test(t, func(t *testing.T) {
		d := newColdDirectory(t, perSecond, target())
		defer func() {
			d.update(perSecond, nil)
			time.Sleep(time.Minute)
		}()
		test(d)
	})
}

// TestStartedTargetGetsNoMoreThanShareUntilWarm guards against the crash of a target that has
// just started under a flood of requests.
func TestStartedTargetGetsNoMoreThanShareUntilWarm(t *testing.T) {
	coldTest(t, coldPerS, bornNow, func(d *coldDirectory) {
		require.True(t, d.pool().Warming(time.Now()))
		sent, held := d.flood(coldWarmup - time.Second)
		require.GreaterOrEqual(t, len(sent), coldShare*6)
		require.Positive(t, held)
		for i := coldShare; i < len(sent); i++ {
			require.Greater(t, sent[i].Sub(sent[i-coldShare]), warmup.Interval)
		}
		time.Sleep(time.Second)
		require.False(t, d.pool().Warming(time.Now()))
		_, held = d.flood(time.Second)
		require.Zero(t, held)
	})
}

// TestColdTargetGetsNothingWithoutList guards against a host that has no share of the rate.
func TestColdTargetGetsNothingWithoutList(t *testing.T) {
	coldTest(t, coldPerS, bornNow, func(d *coldDirectory) {
		for _, list := range []*warmup.List{nil, {Stewards: []string{"other"}}} {
			d.setList(list)
			sent, _ := d.flood(2 * time.Second)
			require.Empty(t, sent)
			load := d.pool().Load(time.Now())
			require.Equal(t, noShareRetry, load.Held)
			require.False(t, load.Usable())
			next := d.Snapshot().Group("s").NextPermit(time.Now(), func(*catalog.Target) bool { return true })
			require.Equal(t, Permit{Left: noShareRetry}, next)
		}
	})
}

// TestReplyMakesTargetColdAndEndsWaitingCalls guards against calls that wait for a connection
// to a target which then becomes cold: they must go to another replica.
func TestReplyMakesTargetColdAndEndsWaitingCalls(t *testing.T) {
	coldTest(t, coldPerS, bornLongAgo, func(d *coldDirectory) {
		require.False(t, d.pool().Warming(time.Now()))
		require.NoError(t, (<-d.submit("warm")).Err)
		d.setList(nil)
		d.pool().Resize(1, 1)
		first, second := d.submit("cold-1"), d.submit("r")
		require.NoError(t, (<-first).Err)
		o := <-second
		require.ErrorIs(t, o.Err, ErrWarming)
		require.Equal(t, verdict.NotRun, o.Verdict)
		require.ErrorIs(t, (<-d.submit("r")).Err, ErrWarming)
		time.Sleep(4 * time.Second)
		require.NoError(t, (<-d.submit("r")).Err)
	})
}

// TestReplyEndsWarmup guards against holding back requests from a target that is warm.
func TestReplyEndsWarmup(t *testing.T) {
	coldTest(t, coldPerS, bornNow, func(d *coldDirectory) {
		require.NoError(t, (<-d.submit("warm")).Err)
		_, held := d.flood(time.Second)
		require.Zero(t, held)
	})
}

// TestRewrittenEntryMakesTargetColdOnce guards against a target that becomes cold without a
// restart, and against taking each reading of one entry for a new warm-up.
func TestRewrittenEntryMakesTargetColdOnce(t *testing.T) {
	coldTest(t, coldPerS, bornLongAgo, func(d *coldDirectory) {
		cold := bornLongAgo()
		cold.Revision, cold.WarmUntil = 2, time.Now().Add(3*time.Second)
		d.update(coldPerS, cold)
		require.True(t, d.pool().Warming(time.Now()))
		time.Sleep(4 * time.Second)
		reread := *cold
		reread.WarmUntil = time.Now().Add(3 * time.Second)
		d.update(coldPerS, &reread)
		require.False(t, d.pool().Warming(time.Now()))
	})
}

// TestWarmupOutlastsLossOfEntry guards against twice the share within a second for a target
// whose entry vanishes and returns.
func TestWarmupOutlastsLossOfEntry(t *testing.T) {
	coldTest(t, coldPerS, bornLongAgo, func(d *coldDirectory) {
		require.NoError(t, (<-d.submit("cold")).Err)
		d.flood(300 * time.Millisecond)
		d.update(coldPerS, nil)
		d.update(coldPerS, bornLongAgo())
		require.True(t, d.pool().Warming(time.Now()))
		sent, _ := d.flood(300 * time.Millisecond)
		require.Empty(t, sent, "the share of this second is used")
	})
}

// TestResumedTargetIsCold guards against the full rate to a target right after the evacuation
// of its failure domain.
func TestResumedTargetIsCold(t *testing.T) {
	coldTest(t, coldPerS, bornLongAgo, func(d *coldDirectory) {
		d.pool().resumed(time.Now(), coldWarmup)
		sent, held := d.flood(coldWarmup)
		require.LessOrEqual(t, len(sent), coldShare*8)
		require.Positive(t, held)
		_, held = d.flood(time.Second)
		require.Zero(t, held)
	})
}

// TestServiceWithoutBoundIsServedAsBefore guards against any change where warmup_per_s is 0.
func TestServiceWithoutBoundIsServedAsBefore(t *testing.T) {
	coldTest(t, 0, bornNow, func(d *coldDirectory) {
		d.setList(nil)
		_, most := d.ColdPermits()
		require.Zero(t, most)
		require.NoError(t, (<-d.submit("cold")).Err)
		d.pool().resumed(time.Now(), coldWarmup)
		require.False(t, d.pool().Warming(time.Now()))
		_, held := d.flood(2 * time.Second)
		require.Zero(t, held)
		require.Empty(t, d.cold.pools)
	})
}

// TestTargetThatAcceptsAfterRefusalIsCold guards against the full rate to a restarted process
// until its new entry has come, and against a second share when it comes.
func TestTargetThatAcceptsAfterRefusalIsCold(t *testing.T) {
	coldTest(t, coldPerS, bornLongAgo, func(d *coldDirectory) {
		require.NoError(t, (<-d.submit("r")).Err)
		d.dialer.gone.Store(true)
		pool := d.pool()
		pool.mu.Lock()
		conn := pool.idle[0]
		pool.mu.Unlock()
		conn.close()
		require.Eventually(t, func() bool { return pool.Load(time.Now()).Unreachable }, time.Minute, time.Millisecond)
		d.dialer.gone.Store(false)
		require.Eventually(t, func() bool { return !pool.Load(time.Now()).Unreachable }, time.Minute, time.Millisecond)
		require.True(t, pool.Warming(time.Now()))
		sent, _ := d.flood(300 * time.Millisecond)
		require.Len(t, sent, coldShare)
		d.update(coldPerS, bornNow())
		require.NotSame(t, pool, d.pool())
		sent, _ = d.flood(300 * time.Millisecond)
		require.Empty(t, sent, "the share of this second is used")
	})
}
