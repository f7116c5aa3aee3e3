package targetpool

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/platform"
)

// limitCodec is the echo codec of a target whose replies state the limit behind "=" in the
// request's id, or an unreadable one for "=x".
type limitCodec struct{ echo.Codec }

func (c limitCodec) ReadReply(in *bufio.Reader, bodyless bool) (*exchange.Reply, error) {
	reply, err := c.Codec.ReadReply(in, bodyless)
	if err != nil {
		return nil, err
	}
	_, limit, ok := strings.Cut(reply.ID, "=")
	if !ok {
		return reply, nil
	}
	head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n", platform.HeaderLimit, limit)
	stated, err := platform.TargetCodec{}.ReadReply(bufio.NewReader(strings.NewReader(head)), true)
	if err != nil {
		return nil, err
	}
	reply.Limit, reply.StatesLimit, reply.InvalidLimit = stated.Limit, stated.StatesLimit, stated.InvalidLimit
	return reply, nil
}

type limitDialer struct{}

func (limitDialer) Dial(string, time.Duration) (net.Conn, error) {
	return echo.Connect(echoTime, nil), nil
}

// limitDirectory is a directory of one service with one target.
type limitDirectory struct {
	*Directory
	t        *testing.T
	revision int64
}

// limitTest runs a test with a directory of a host in a fleet and closes its pools.
func limitTest(t *testing.T, fleet Fleet, test func(d *limitDirectory)) {
	synctest.Test(t, func(t *testing.T) {
		d := &limitDirectory{t: t, Directory: NewDirectory(Options{Codec: limitCodec{}, Dialer: limitDialer{}, Log: discardLogger(), Host: "h"})}
		d.limits.phase = 0
		d.SetFleet(fleet)
		d.update(1)
		defer func() {
			d.update(0)
			time.Sleep(time.Minute)
		}()
		test(d)
	})
}

// update publishes a view with the start of the target that born identifies, 0 for no target.
func (d *limitDirectory) update(born int64) {
	d.revision++
	services := map[catalog.ServiceName]catalog.Service{"s": {Name: "s", MaxConns: 4}}
	targets := map[catalog.TargetID]*catalog.Target{}
	if born != 0 {
		targets["t"] = &catalog.Target{ID: "t", Service: "s", Addr: "t", Born: born, Revision: d.revision}
	}
	d.Update(catalog.NewView(catalog.NewConfig(d.revision, nil, services, catalog.Limits{}), catalog.Position{Revision: d.revision}, targets))
}

func (d *limitDirectory) submit(id string) Outcome {
	done := make(chan Outcome, 1)
	deadline := time.Now().Add(10 * time.Second)
	d.Snapshot().Group("s").Pools[0].Submit(&Call{
		Request: &exchange.Request{ID: id}, Deadline: deadline, OnTime: deadline, Expected: echoTime,
		Done: func(o Outcome) { done <- o },
	})
	return <-done
}

// flood submits calls for a time, whose replies state the limit, and returns how many were sent.
func (d *limitDirectory) flood(limit string, lasts time.Duration) int {
	sent := 0
	for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		d.TakeLimitReport(time.Now())
		o := d.submit(fmt.Sprint(time.Now().UnixNano(), limit))
		if o.Err == nil {
			sent++
			continue
		}
		require.ErrorIs(d.t, o.Err, ErrLimited)
		require.Equal(d.t, verdict.NotRun, o.Verdict)
	}
	return sent
}

// TestHostKeepsToItsPartOfLimitThatChanges guards against a limit that is heeded only as first
// named, and against one that outlasts the answers that state it.
func TestHostKeepsToItsPartOfLimitThatChanges(t *testing.T) {
	limitTest(t, Fleet{Hosts: 4}, func(d *limitDirectory) {
		free := d.flood("", 4*time.Second)
		require.Greater(t, free, 100)
		d.flood("=20", time.Second)
		require.InDelta(t, 20, d.flood("=20", 4*time.Second), 3)
		require.InDelta(t, 20, d.flood("=x", 4*time.Second), 3, "nonsense changes nothing")
		d.flood("=60", time.Second)
		require.InDelta(t, 60, d.flood("=60", 4*time.Second), 4)
		d.flood("=4", time.Second)
		require.InDelta(t, 4, d.flood("=4", 4*time.Second), 1)
		d.flood("=0", 4*time.Second)
		require.InDelta(t, 3, d.flood("=0", 48*time.Second), 1, "it is asked rarely, or its end would not be noticed")
		d.flood("", 16*time.Second)
		require.InDelta(t, free, d.flood("", 4*time.Second), 20)
	})
}

// TestHugeLimitRefusesNoWaitingCall guards against limits whose permits exceed an int: the calls that
// waited when they changed were refused.
func TestHugeLimitRefusesNoWaitingCall(t *testing.T) {
	limitTest(t, Fleet{Hosts: 1}, func(d *limitDirectory) {
		d.submit("first=1000")
		time.Sleep(time.Second)
		var all sync.WaitGroup
		for zeros := 19; zeros < 32; zeros++ {
			all.Go(func() { require.NoError(t, d.submit("huge=1"+strings.Repeat("0", zeros)).Err) })
		}
		all.Wait()
	})
}

// TestLimitOutlastsEntryButNotStartOfTarget guards against requests beyond a limit after the
// target's entry vanished and came back, and against a limit of a process that has ended.
func TestLimitOutlastsEntryButNotStartOfTarget(t *testing.T) {
	limitTest(t, Fleet{Hosts: 4}, func(d *limitDirectory) {
		d.submit("a=4")
		d.update(0)
		d.update(1)
		require.LessOrEqual(t, d.flood("=4", 4*time.Second), 5)
		d.update(2)
		require.Greater(t, d.flood("", 4*time.Second), 100)
	})
}

// TestLimitThatAnotherHostHeardIsHeeded covers a host that learns of a limit, and of its end,
// from others, at any order of notices.
func TestLimitThatAnotherHostHeardIsHeeded(t *testing.T) {
	limitTest(t, Fleet{Hosts: 4}, func(d *limitDirectory) {
		d.AddLimitNotices([]targetlimit.Notice{{Target: "t", Born: 1, Limited: true, PerSecond: 4}, {Target: "t", Born: 9, Limited: true}})
		time.Sleep(4 * time.Second)
		load := d.Snapshot().Group("s").Pools[0].Load(time.Now())
		require.True(t, load.Usable())
		require.Empty(t, d.TakeLimitReport(time.Now()).Notices, "it came from others")
		d.submit("a=4")
		load = d.Snapshot().Group("s").Pools[0].Load(time.Now())
		require.True(t, load.Limited)
		require.False(t, load.Usable())
		d.AddLimitNotices([]targetlimit.Notice{{Target: "t", Born: 1, AgeMS: 3000}})
		load = d.Snapshot().Group("s").Pools[0].Load(time.Now())
		require.False(t, load.Usable(), "older than what this host heard")
		time.Sleep(time.Second)
		d.AddLimitNotices([]targetlimit.Notice{{Target: "t", Born: 1}})
		require.False(t, d.Snapshot().Group("s").Pools[0].Load(time.Now()).Limited)
	})
}

// TestLimitThatNobodyHearsOfExpires guards against a limit that stays after the target's last
// answer with it.
func TestLimitThatNobodyHearsOfExpires(t *testing.T) {
	limitTest(t, Fleet{Hosts: 4}, func(d *limitDirectory) {
		d.submit("a=0")
		report := d.TakeLimitReport(time.Now())
		require.Len(t, report.Notices, 1)
		require.Len(t, report.Demand, 1)
		time.Sleep(time.Minute + time.Second)
		empty := d.TakeLimitReport(time.Now())
		require.True(t, empty.Empty())
		require.False(t, d.Snapshot().Group("s").Pools[0].Load(time.Now()).Limited)
	})
}
