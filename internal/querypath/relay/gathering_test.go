package relay

import (
	"bufio"
	"fmt"
	"net"
	"sync"
	"syscall"
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

// The fleet and the load that the play of gatherers runs.
const (
	playHosts     = 36
	playGatherers = 4
	playShards    = 24
	playReplicas  = 2
	playMaxConns  = 24
	playSlots     = 2
	playSetup     = 6 * time.Millisecond
	playWork      = 7 * time.Millisecond
	playIdle      = 10 * time.Second
	playPause     = 100 * time.Millisecond
	playPauseGap  = 2400 * time.Millisecond
	playObjective = 80 * time.Millisecond
	playSweeps    = 240
	playInterval  = 100 * time.Millisecond
	playHop       = time.Millisecond
)

// playCodec adds the idle timeout of the play's targets to each reply.
type playCodec struct{ echo.Codec }

func (c playCodec) ReadReply(in *bufio.Reader, bodyless bool) (*exchange.Reply, error) {
	reply, err := c.Codec.ReadReply(in, bodyless)
	if err == nil {
		reply.IdleTimeout = playIdle
	}
	return reply, err
}

// playTarget accepts a bounded number of connections, each of which takes a slot for a
// while, closes idle ones, serves as many requests at once as it has slots and pauses
// now and then.
type playTarget struct {
	slots chan struct{}
	phase time.Duration
	began time.Time

	mu       sync.Mutex
	conns    int
	accepted int
}

func (p *playTarget) connect() (net.Conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns >= playMaxConns {
		return nil, syscall.ECONNRESET
	}
	p.conns++
	p.accepted++
	near, far := net.Pipe()
	go p.serve(far)
	return near, nil
}

func (p *playTarget) serve(conn net.Conn) {
	defer func() {
		_ = conn.Close()
		p.mu.Lock()
		defer p.mu.Unlock()
		p.conns--
	}()
	p.occupy(playSetup)
	lines := bufio.NewReader(conn)
	for {
		_ = conn.SetReadDeadline(time.Now().Add(playIdle))
		line, err := lines.ReadString('\n')
		if err != nil {
			return
		}
		p.occupy(playWork)
		_ = conn.SetWriteDeadline(time.Now().Add(playIdle))
		if _, err := conn.Write([]byte(line)); err != nil {
			return
		}
	}
}

// occupy holds a slot for the given time, and longer if the target pauses.
func (p *playTarget) occupy(d time.Duration) {
	p.slots <- struct{}{}
	defer func() { <-p.slots }()
	time.Sleep(d)
	if into := (time.Since(p.began) + p.phase) % playPauseGap; into < playPause {
		time.Sleep(playPause - into)
	}
}

// playFleet is the targets and hosts of one play.
type playFleet struct {
	targets     map[string]*playTarget
	directories []*targetpool.Directory
	executors   []*Executor
}

// Dial implements targetpool.Dialer.
func (f *playFleet) Dial(addr string, _ time.Duration) (net.Conn, error) {
	time.Sleep(playHop)
	return f.targets[addr].connect()
}

// passOn passes sweeps on to one of the gatherers of a fleet.
type passOn struct {
	fleet *playFleet
	host  int
}

func (p passOn) Sweep(r *exchange.Request, route *catalog.Route, _ func() bool, gone <-chan struct{}) *exchange.Answer {
	if p.host < playGatherers {
		return nil
	}
	time.Sleep(playHop)
	defer time.Sleep(playHop)
	return p.fleet.executors[p.host%playGatherers].Accept(r, exchange.PassedRoute{Fingerprint: route.Fingerprint}).Serve(gone)
}

func newPlayFleet(gatherers int) *playFleet {
	f := &playFleet{targets: map[string]*playTarget{}}
	route := &catalog.Route{
		Name: "sweep", Prefix: "/", Host: "h", Timeout: time.Second, Objective: playObjective, Idempotent: true,
		MaxAttempts: 2, TopK: 1, LeastCoverage: 0.85,
	}
	services := map[catalog.ServiceName]catalog.Service{}
	targets := map[catalog.TargetID]*catalog.Target{}
	for i := range playShards {
		service := catalog.ServiceName(fmt.Sprint("s-", i))
		services[service] = catalog.Service{Name: service, MaxConns: playMaxConns}
		route.Shards = append(route.Shards, service)
		for k := range playReplicas {
			id := fmt.Sprintf("t-%d-%d", i, k)
			targets[catalog.TargetID(id)] = &catalog.Target{ID: catalog.TargetID(id), Service: service, Addr: id, Slots: playSlots}
			phase := time.Duration(i*playReplicas+k) * playPauseGap * 7 / (playShards * playReplicas * 3)
			f.targets[id] = &playTarget{slots: make(chan struct{}, playSlots), phase: phase, began: time.Now()}
		}
	}
	config := catalog.NewConfig(1, []*catalog.Route{route}, services, catalog.Limits{})
	for h := range playHosts {
		d := targetpool.NewDirectory(targetpool.Options{
			Codec: playCodec{}, Dialer: f, Log: discardLogger(), Host: fmt.Sprint("host-", h),
			Extra: extrabudget.Limit{Ratio: 0.18, Slack: 100, Window: 10 * time.Second},
		})
		d.SetFleet(targetpool.Fleet{Hosts: playHosts, Gatherers: gatherers, Gathers: h < gatherers})
		d.Update(catalog.NewView(config, catalog.Position{Revision: 1}, targets))
		options := Options{Snapshots: d, Guard: crashguard.New()}
		if gatherers > 0 {
			options.Gatherers = passOn{fleet: f, host: h}
		}
		f.directories = append(f.directories, d)
		f.executors = append(f.executors, NewExecutor(options))
	}
	return f
}

// close closes the hosts' connections.
func (f *playFleet) close() {
	for _, d := range f.directories {
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	}
	time.Sleep(time.Minute)
}

// playResult is what callers and targets saw.
type playResult struct {
	// credit is the mean over all sweeps of the square of the coverage in time.
	credit float64
	// newConns is the number of connections that the targets accepted.
	newConns int
}

// openConns returns the number of connections that each target holds.
func (f *playFleet) openConns() map[string]int {
	open := map[string]int{}
	for id, t := range f.targets {
		t.mu.Lock()
		open[id] = t.conns
		t.mu.Unlock()
	}
	return open
}

// holdDead makes the targets count dead connections until their idle timeout.
func (f *playFleet) holdDead(conns map[string]int) {
	for id, t := range f.targets {
		t.mu.Lock()
		t.conns += conns[id]
		t.mu.Unlock()
		time.AfterFunc(playIdle, func() {
			t.mu.Lock()
			defer t.mu.Unlock()
			t.conns -= conns[id]
		})
	}
}

// play sends sweeps to the hosts in turn.
func (f *playFleet) play(count int) playResult {
	var sweeps sync.WaitGroup
	var mu sync.Mutex
	result := playResult{}
	for i := range count {
		sweeps.Go(func() {
			began := time.Now()
			request := &exchange.Request{ID: fmt.Sprint(i), Method: "GET", Host: "h", URI: "/", Arrived: began, CallerTimeout: time.Second}
			answer := f.executors[i%playHosts].Serve(request, nil)
			if answer.Status != 200 || time.Since(began) > playObjective {
				return
			}
			coverage := float64(playShards-answer.Missing) / playShards
			mu.Lock()
			defer mu.Unlock()
			result.credit += coverage * coverage / float64(count)
		})
		time.Sleep(playInterval)
	}
	sweeps.Wait()
	for _, t := range f.targets {
		t.mu.Lock()
		result.newConns += t.accepted
		t.mu.Unlock()
	}
	return result
}

// TestGatherersServeCallersOfLargeFleet plays a fleet with more hosts than a target
// accepts connections, in which each host gets few sweeps: once each host serves its
// own, once a few gather for all. Callers must get nearly all that the pauses of the
// targets leave, over a fraction of the connections.
func TestGatherersServeCallersOfLargeFleet(t *testing.T) {
	results := map[int]playResult{}
	for _, gatherers := range []int{0, playGatherers} {
		synctest.Test(t, func(t *testing.T) {
			fleet := newPlayFleet(gatherers)
			time.Sleep(time.Second)
			results[gatherers] = fleet.play(playSweeps)
			fleet.close()
		})
	}
	direct, gathered := results[0], results[playGatherers]
	t.Logf("credit %.3f and %d connections direct, %.3f and %d gathered", direct.credit, direct.newConns, gathered.credit, gathered.newConns)
	require.Greater(t, gathered.credit, 0.95)
	require.Greater(t, gathered.credit, direct.credit)
	require.Less(t, 2*gathered.newConns, direct.newConns)
}

// TestGatherersServeCallersAfterLossOfAllHosts starts a fleet anew while the targets
// still count the connections of the fleet that lost power. Those of a few gatherers fit
// beside the dead ones; those of all hosts don't.
func TestGatherersServeCallersAfterLossOfAllHosts(t *testing.T) {
	const first = 60
	credit := map[int]float64{}
	for _, gatherers := range []int{0, playGatherers} {
		synctest.Test(t, func(t *testing.T) {
			lost := newPlayFleet(gatherers)
			time.Sleep(time.Second)
			lost.play(playSweeps)
			dead := lost.openConns()
			lost.close()
			restarted := newPlayFleet(gatherers)
			restarted.holdDead(dead)
			credit[gatherers] = restarted.play(first).credit
			restarted.close()
		})
	}
	t.Logf("credit of the first %d sweeps %.3f direct, %.3f gathered", first, credit[0], credit[playGatherers])
	require.Greater(t, credit[playGatherers], 0.9)
	require.Greater(t, credit[playGatherers], credit[0]+0.2)
}
