package soak

import (
	"sync"
	"testing"
	"time"

	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	// keptCallers is the number of callers that keep their connections.
	keptCallers = 36
	// keptGrace is the time after which a stopping host is killed, keptTimeout the callers'
	// deadline and the routes' timeout. A request that comes after lateAfter of the grace can't
	// end in time with all that it may take.
	keptGrace   = 6 * time.Second
	keptTimeout = 5 * time.Second
	lateAfter   = keptGrace / 2
	// keptSingles is the number of targets of their single requests.
	keptSingles = 24
	// ciStopRounds is how often each host is stopped in CI.
	ciStopRounds = 1
	// downtime is the time between the end of a host and its next start.
	downtime = 200 * time.Millisecond
)

// stops is a run in which hosts are stopped and started again, in turn and overlapping, while
// callers keep using their connections, settings are reloaded and configurations published.
// Nothing is disturbed that was not planned.
type stops struct {
	*environment
	balancer *balancer

	recordMu  sync.Mutex
	exchanges []keptExchange
	planned   []plannedStop
}

// plannedStop is a stop of a host, from SIGTERM to the end of its process.
type plannedStop struct {
	host       string
	began, end time.Time
}

// TestPlannedStopLeavesNoRequestUnanswered guards against a host that takes requests beyond its
// own end and cuts them.
func TestPlannedStopLeavesNoRequestUnanswered(t *testing.T) { runStops(t, 2, 4, ciStopRounds) }

// TestPlannedStopLeavesNoRequestUnansweredForFreshSeeds runs as many seeds as -soak.runs asks
// for, by default none.
func TestPlannedStopLeavesNoRequestUnansweredForFreshSeeds(t *testing.T) {
	forFreshSeeds(t, func(t *testing.T, seed uint64) { runStops(t, seed, *hostCount, 2*ciStopRounds) })
}

// runStops stops each host the given number of times.
func runStops(t *testing.T, seed uint64, hosts, rounds int) {
	s := &stops{environment: newEnvironment(t, seed)}
	s.grace = keptGrace
	s.startPlatform(deployment.Options{Attempts: 2, WorkOf: workOf, Timeout: keptTimeout}, keptSingles)
	s.addHosts(hosts)
	harness.Eventually(t, "all hosts are ready", s.allReady)
	s.balancer = newBalancer(s.hosts)
	done := make(chan struct{})
	var callers sync.WaitGroup
	callers.Go(func() { s.balancer.run(done) })
	for k := range keptCallers {
		callers.Go(func() { s.call(k, done) })
	}
	callers.Go(func() { s.change(done) })
	for range rounds {
		s.stopEachHost()
	}
	close(done)
	callers.Wait()
	s.checkExchanges()
}

// stopEachHost stops the hosts one after the other, the next one mostly before the one before
// has started again, and waits until all have.
func (s *stops) stopEachHost() {
	var all sync.WaitGroup
	for _, h := range s.hosts {
		time.Sleep(s.between(keptGrace/6, keptGrace/2))
		all.Go(func() {
			began := time.Now()
			h.terminateWithin(keptGrace)
			s.recordStop(plannedStop{host: h.name, began: began, end: time.Now()})
			time.Sleep(downtime)
			h.start()
		})
	}
	all.Wait()
	harness.Eventually(s.t, "all hosts are ready again", s.allReady)
}

// change reloads the settings of a host or publishes a configuration now and then until done is
// closed.
func (s *stops) change(done <-chan struct{}) {
	for !isClosed(done) {
		time.Sleep(s.between(0, 2*meanFaultInterval))
		if s.pick(2) == 0 {
			s.publish()
		} else {
			s.anyHost().reload()
		}
	}
}

func (s *stops) recordStop(p plannedStop) {
	s.recordMu.Lock()
	defer s.recordMu.Unlock()
	s.planned = append(s.planned, p)
}
