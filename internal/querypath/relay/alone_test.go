package relay

import (
	"bufio"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/extrabudget"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/standin/echo"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// endingDialer connects to targets that answer after a moment, until they end under the request
// "crashing" or fall silent under the request "silencing".
type endingDialer struct {
	mu sync.Mutex
	// got counts the targets that got each request.
	got map[string]int
}

func (d *endingDialer) count(id string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.got[id]
}

func (d *endingDialer) Dial(string, time.Duration) (net.Conn, error) {
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			d.mu.Lock()
			d.got[line[:len(line)-1]]++
			d.mu.Unlock()
			switch line {
			case "crashing\n":
				return
			case "silencing\n":
				continue
			}
			time.Sleep(time.Millisecond)
			if _, err := far.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// suspectHost is a host that suspects all requests of crashing targets.
type suspectHost struct {
	guard    *crashguard.Guard
	executor *Executor
	snapshot *targetpool.Snapshot
	dialer   *endingDialer
}

// request returns a request of a route, of which a crash is known.
func (h *suspectHost) request(kind, id string) *exchange.Request {
	now := time.Now()
	r := &exchange.Request{ID: id, Method: "GET", Host: "h", URI: "/" + kind + "/" + id, Arrived: now, CallerTimeout: time.Second}
	h.guard.Add(crashguard.CrashReport{Request: crashguard.FingerprintOf(r), Target: "gone", Service: "a"}, now)
	return r
}

func (h *suspectHost) serve(kind, id string) *exchange.Answer {
	return h.executor.Serve(h.request(kind, id), nil)
}

// suspectTest runs a test with a suspectHost.
func suspectTest(t *testing.T, test func(h *suspectHost)) {
	synctest.Test(t, func(t *testing.T) {
		sweep := &catalog.Route{
			Name: "sweep", Prefix: "/sweep/", Host: "h", Timeout: time.Second, Objective: 100 * time.Millisecond, Idempotent: true, MaxAttempts: 2,
			Shards: []catalog.ServiceName{"a", "b", "c"}, TopK: 1, LeastCoverage: 0.3,
		}
		single := *sweep
		single.Name, single.Prefix, single.Shards = "single", "/single/", nil
		single.Split = []catalog.WeightedService{{Service: "a", Weight: 1}}
		services, targets := map[catalog.ServiceName]catalog.Service{}, map[catalog.TargetID]*catalog.Target{}
		for _, name := range sweep.Shards {
			services[name] = catalog.Service{Name: name, MaxConns: 8}
			for _, id := range []string{string(name) + "-1", string(name) + "-2"} {
				targets[catalog.TargetID(id)] = &catalog.Target{ID: catalog.TargetID(id), Service: name, Addr: id}
			}
		}
		config := catalog.NewConfig(1, []*catalog.Route{sweep, &single}, services, catalog.Limits{})
		dialer := &endingDialer{got: map[string]int{}}
		directory := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: dialer, Log: discardLogger(), Host: "host", Extra: extrabudget.Limit{Ratio: 1, Slack: 100, Window: 10 * time.Second},
		})
		directory.SetFleet(targetpool.Fleet{Hosts: 1})
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 1}, targets))
		time.Sleep(5 * time.Second)
		guard := crashguard.New()
		test(&suspectHost{
			guard: guard, executor: NewExecutor(Options{Snapshots: directory, Guard: guard}), snapshot: directory.Snapshot(), dialer: dialer,
		})
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(time.Minute)
	})
}

// TestSuspectRunsOnOneTargetAlone guards against a request that has crashed a target and crashes
// more of them by a hedge, a retry or its other shards.
func TestSuspectRunsOnOneTargetAlone(t *testing.T) {
	suspectTest(t, func(h *suspectHost) {
		for i, kind := range []string{"single", "sweep"} {
			require.Equal(t, 502, h.serve(kind, "crashing").Status, kind)
			require.Equal(t, i+1, h.dialer.count("crashing"), kind)
			require.Equal(t, 504, h.serve(kind, "silencing").Status, kind)
			require.Equal(t, i+1, h.dialer.count("silencing"), kind)
		}
	})
}

// TestHeldLegsAreNotSentOnceTheCallerHasLeft guards against work for nobody: the reply of the first
// shard may arrive at the moment at which the caller leaves.
func TestHeldLegsAreNotSentOnceTheCallerHasLeft(t *testing.T) {
	suspectTest(t, func(h *suspectHost) {
		r := h.request("sweep", "left")
		s := &sweep{run: h.executor.newRun(h.snapshot, h.snapshot.View.Config.Match(r.Host, r.URI), r, nil), legs: make([]leg, 3), minShards: 1}
		s.events = make(chan event, 1)
		require.Nil(t, s.start(time.Now()))
		synctest.Wait()
		time.Sleep(10 * time.Millisecond)
		s.ended = true
		s.drain()
		require.Equal(t, 1, s.parts)
		require.Equal(t, 3, s.settled)
		require.Equal(t, 1, h.dialer.count("left"))
	})
}

// TestSuspectThatATargetAnswersIsServedWhole guards against callers who get less since their request
// ran beside a crash.
func TestSuspectThatATargetAnswersIsServedWhole(t *testing.T) {
	suspectTest(t, func(h *suspectHost) {
		require.Equal(t, 200, h.serve("single", "sound").Status)
		answer := h.serve("sweep", "sound")
		require.Equal(t, 200, answer.Status)
		require.Zero(t, answer.Missing)
		require.Equal(t, 4, h.dialer.count("sound"))
	})
}
