package relay

import (
	"bufio"
	"fmt"
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

// The targets and callers of the overload tests: one service of two targets with two slots
// each, called by several hosts.
const (
	crowdHosts     = 6
	crowdSlots     = 2
	crowdTargets   = 2
	crowdWork      = 20 * time.Millisecond
	crowdObjective = 150 * time.Millisecond
	crowdTimeout   = 500 * time.Millisecond
	crowdCoverage  = 0.9
	crowdWarmup    = 4 * time.Second
	crowdLasts     = 10 * time.Second
)

// crowdDelays are what delays requests beside the work. pause is how long each target is
// silent at the start of each second, dial how long it takes to open a connection.
type crowdDelays struct{ pause, dial time.Duration }

// crowdDialer connects to targets with slots. work is the time of one request.
type crowdDialer struct {
	crowdDelays
	slots map[string]chan struct{}
	work  map[string]time.Duration
	began time.Time
}

func (d *crowdDialer) Dial(addr string, _ time.Duration) (net.Conn, error) {
	time.Sleep(d.dial)
	near, far := net.Pipe()
	go func() {
		defer func() { _ = far.Close() }()
		lines := bufio.NewReader(far)
		for {
			line, err := lines.ReadString('\n')
			if err != nil {
				return
			}
			d.slots[addr] <- struct{}{}
			time.Sleep(d.work[addr])
			if into := time.Since(d.began) % time.Second; into < d.pause {
				time.Sleep(d.pause - into)
			}
			<-d.slots[addr]
			if _, err := far.Write([]byte(line)); err != nil {
				return
			}
		}
	}()
	return near, nil
}

// crowd is the hosts of one test.
type crowd struct {
	dialer      *crowdDialer
	directories []*targetpool.Directory
	executors   []*Executor
	config      *catalog.Config
}

// newCrowd returns hosts for single requests to one service or, if there are more times,
// for sweeps over one shard for each of them.
func newCrowd(delays crowdDelays, works ...time.Duration) *crowd {
	c := &crowd{dialer: &crowdDialer{slots: map[string]chan struct{}{}, work: map[string]time.Duration{}, crowdDelays: delays, began: time.Now()}}
	targets := map[catalog.TargetID]*catalog.Target{}
	services := map[catalog.ServiceName]catalog.Service{}
	var names []catalog.ServiceName
	for s, work := range works {
		service := catalog.ServiceName(fmt.Sprint("s-", s))
		names = append(names, service)
		services[service] = catalog.Service{Name: service, MaxConns: 16}
		for i := range crowdTargets {
			id := fmt.Sprintf("t-%d-%d", s, i)
			c.dialer.slots[id], c.dialer.work[id] = make(chan struct{}, crowdSlots), work
			targets[catalog.TargetID(id)] = &catalog.Target{ID: catalog.TargetID(id), Service: service, Addr: id, Slots: crowdSlots}
		}
	}
	routes := make([]*catalog.Route, 2)
	for rank := range routes {
		routes[rank] = &catalog.Route{
			Name: fmt.Sprint("r-", rank), Host: fmt.Sprint("h", rank), Prefix: "/", Timeout: crowdTimeout, Objective: crowdObjective,
			Idempotent: true, MaxAttempts: 2, Priority: rank, TopK: 1, LeastCoverage: crowdCoverage,
		}
		if len(names) > 1 {
			routes[rank].Shards = names
		} else {
			routes[rank].Split = []catalog.WeightedService{{Service: names[0], Weight: 1}}
		}
	}
	c.config = catalog.NewConfig(1, routes, services, catalog.Limits{})
	for h := range crowdHosts {
		d := targetpool.NewDirectory(targetpool.Options{
			Codec: echo.Codec{}, Dialer: c.dialer, Log: discardLogger(), Host: fmt.Sprint("host-", h),
			Extra: extrabudget.Limit{Ratio: 0.1, Slack: 10, Window: 10 * time.Second},
		})
		d.SetFleet(targetpool.Fleet{Hosts: crowdHosts})
		d.Update(catalog.NewView(c.config, catalog.Position{Revision: 1}, targets))
		c.directories = append(c.directories, d)
		c.executors = append(c.executors, NewExecutor(Options{Snapshots: d, FailureDomain: fmt.Sprint("d-", h%2), Guard: crashguard.New()}))
	}
	time.Sleep(time.Second)
	return c
}

func (c *crowd) close() {
	for _, d := range c.directories {
		d.Update(catalog.NewView(nil, catalog.Position{Revision: 2}, nil))
	}
	time.Sleep(time.Minute)
}

// crowdScore counts the callers of one rank.
type crowdScore struct{ callers, inTime, late, refused, slowRefusals int }

// send has one caller served, who comes back once after a refusal.
func (c *crowd) send(host, rank int, id string) (answer *exchange.Answer, took time.Duration) {
	left := crowdTimeout
	for range 2 {
		began := time.Now()
		request := &exchange.Request{ID: id, Method: "GET", Host: fmt.Sprint("h", rank), URI: "/", Arrived: began, CallerTimeout: left}
		answer = c.executors[host].Serve(request, nil)
		took = time.Since(began)
		if answer.Status != 503 {
			return answer, took
		}
		left -= took + answer.RetryAfter
		if left <= 0 {
			return answer, took
		}
		time.Sleep(answer.RetryAfter)
	}
	return answer, took
}

// run sends perSecond requests for a while, alternately of both ranks, and counts those
// after the warm-up.
func (c *crowd) run(perSecond int) [2]crowdScore {
	var callers sync.WaitGroup
	var mu sync.Mutex
	var scores [2]crowdScore
	began := time.Now()
	for i := range int(crowdLasts.Seconds() * float64(perSecond)) {
		measured := time.Since(began) > crowdWarmup
		callers.Go(func() {
			answer, took := c.send(i/2%crowdHosts, i%2, fmt.Sprint(i))
			mu.Lock()
			defer mu.Unlock()
			if measured {
				scores[i%2].add(answer, took)
			}
		})
		time.Sleep(time.Second / time.Duration(perSecond))
	}
	callers.Wait()
	return scores
}

func (s *crowdScore) add(answer *exchange.Answer, took time.Duration) {
	s.callers++
	switch {
	case answer.Status == 503:
		s.refused++
		if took > crowdWork {
			s.slowRefusals++
		}
	case answer.Status == 200 && took <= crowdObjective:
		s.inTime++
	default:
		s.late++
	}
}

// TestCallersBeyondCapacityAreRefusedAtOnceAndTheOthersServedInTime guards against
// requests that are all admitted and then late, at four and eight times the capacity, and
// against less urgent callers that are served in place of the most urgent ones.
func TestCallersBeyondCapacityAreRefusedAtOnceAndTheOthersServedInTime(t *testing.T) {
	const capacity = crowdTargets * crowdSlots * int(time.Second/crowdWork)
	for _, factor := range []int{4, 8} {
		synctest.Test(t, func(t *testing.T) {
			c := newCrowd(crowdDelays{}, crowdWork)
			scores := c.run(factor * capacity)
			c.close()
			urgent, other := scores[0], scores[1]
			t.Logf("%d times: urgent %+v, other %+v", factor, urgent, other)
			measured := int((crowdLasts - crowdWarmup).Seconds())
			require.Greater(t, urgent.inTime+other.inTime, capacity*measured*80/100)
			require.Less(t, urgent.late+other.late, (urgent.inTime+other.inTime)/10)
			require.Greater(t, urgent.inTime, 3*other.inTime)
			require.Greater(t, other.inTime, 0)
			require.Zero(t, urgent.slowRefusals+other.slowRefusals)
		})
	}
}

// TestSweepsBeyondCapacityOfSlowestShardsAreRefused guards against sweeps that are all
// admitted although a few shards, of which all replicas are slow, decide how many can be
// in time.
func TestSweepsBeyondCapacityOfSlowestShardsAreRefused(t *testing.T) {
	const slow = 4 * crowdWork
	const capacity = crowdTargets * crowdSlots * int(time.Second) / int(slow)
	works := make([]time.Duration, 20)
	for i := range works {
		works[i] = crowdWork
	}
	works[3], works[7], works[11] = slow, slow, slow
	synctest.Test(t, func(t *testing.T) {
		c := newCrowd(crowdDelays{}, works...)
		scores := c.run(6 * capacity)
		c.close()
		t.Logf("capacity %d/s: urgent %+v, other %+v", capacity, scores[0], scores[1])
		measured := int((crowdLasts - crowdWarmup).Seconds())
		require.Greater(t, scores[0].inTime+scores[1].inTime, capacity*measured*60/100)
		require.Greater(t, scores[0].inTime, 2*scores[1].inTime)
		require.Less(t, scores[0].late+scores[1].late, scores[0].inTime+scores[1].inTime)
	})
}

// TestLittleLoadIsServedWhateverTheTargetsDo guards against refusals on a calm fleet, and
// on one whose targets are six times slower or pause, where a limit would not help.
func TestLittleLoadIsServedWhateverTheTargetsDo(t *testing.T) {
	for _, c := range []struct{ work, pause time.Duration }{
		{crowdWork, 0}, {6 * crowdWork, 0}, {10 * crowdWork, 0}, {crowdWork, 200 * time.Millisecond},
	} {
		synctest.Test(t, func(t *testing.T) {
			crowd := newCrowd(crowdDelays{pause: c.pause}, c.work)
			scores := crowd.run(12)
			crowd.close()
			t.Logf("work %v, pause %v: %+v", c.work, c.pause, scores)
			require.Zero(t, scores[0].refused+scores[1].refused)
		})
	}
}
