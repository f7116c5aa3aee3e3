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

// suspectTest runs a test with a host that suspects all requests of crashing targets.
func suspectTest(t *testing.T, test func(serve func(kind, id string) *exchange.Answer, dialer *endingDialer)) {
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
		executor := NewExecutor(Options{Snapshots: directory, Guard: guard})
		test(func(kind, id string) *exchange.Answer {
			now := time.Now()
			r := &exchange.Request{ID: id, Method: "GET", Host: "h", URI: "/" + kind + "/" + id, Arrived: now, CallerTimeout: time.Second}
			guard.Add(crashguard.CrashReport{Request: crashguard.FingerprintOf(r), Target: "gone", Service: "a"}, now)
			return executor.Serve(r, nil)
		}, dialer)
		directory.Update(catalog.NewView(config, catalog.Position{Revision: 2}, nil))
		time.Sleep(time.Minute)
	})
}

// TestSuspectRunsOnOneTargetAlone guards against a request that has crashed a target and crashes
// more of them by a hedge, a retry or its other shards.
func TestSuspectRunsOnOneTargetAlone(t *testing.T) {
	suspectTest(t, func(serve func(kind, id string) *exchange.Answer, dialer *endingDialer) {
		for i, kind := range []string{"single", "sweep"} {
			require.Equal(t, 502, serve(kind, "crashing").Status, kind)
			require.Equal(t, i+1, dialer.count("crashing"), kind)
			require.Equal(t, 504, serve(kind, "silencing").Status, kind)
			require.Equal(t, i+1, dialer.count("silencing"), kind)
		}
	})
}

// TestSuspectThatATargetAnswersIsServedWhole guards against callers who get less since their request
// ran beside a crash.
func TestSuspectThatATargetAnswersIsServedWhole(t *testing.T) {
	suspectTest(t, func(serve func(kind, id string) *exchange.Answer, dialer *endingDialer) {
		require.Equal(t, 200, serve("single", "sound").Status)
		answer := serve("sweep", "sound")
		require.Equal(t, 200, answer.Status)
		require.Zero(t, answer.Missing)
		require.Equal(t, 4, dialer.count("sound"))
	})
}
