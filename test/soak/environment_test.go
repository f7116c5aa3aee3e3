package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/faultproxy"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
	"github.com/swiftvane/swiftvane/test/harness"
)

const (
	shards   = 6
	replicas = 2
	singles  = 4
	records  = 12
	topK     = 10
	work     = 2 * time.Millisecond
	// objective and minCoverage are the latency objective and the minimum coverage of
	// the routes.
	objective   = 300 * time.Millisecond
	minCoverage = 0.5
	// ratio, window and slack bound the extra requests to a service: ratio times the
	// requests of a window, plus slack.
	ratio  = 0.2
	window = 10 * time.Second
	slack  = 30
)

// environment is the hosts under test and everything they connect to.
type environment struct {
	t *testing.T
	// memoryMB is the hosts' memory limit.
	memoryMB int
	// grace is the time in which the settings make hosts stop.
	grace time.Duration
	// measured is set if the hosts' memory is measured.
	measured bool
	// piped is set if the hosts log to a pipe.
	piped bool
	// extremes is the number of replies with extreme numbers.
	extremes int
	// seeds replaces the hosts that the settings list as seeds, if there are some.
	seeds []string
	// landed is set if the hosts start with the last landed build.
	landed bool
	// platform holds the store and the configuration; targets hold the searchers.
	platform    *deployment.Deployment
	targets     []*target
	hosts       []*host
	log         attemptLog
	startTime   time.Time
	evacuations evacuations

	mu     sync.Mutex
	random *rand.Rand
	// faultShare is the share of requests for which a target injects a fault.
	faultShare float64
}

// runSeed runs hosts under the faults of one seed and checks the guarantees.
func runSeed(t *testing.T, seed uint64, hosts int, faultPeriod time.Duration) {
	e := newEnvironment(t, seed)
	e.run(hosts, func() {
		var evacuating sync.WaitGroup
		evacuating.Go(func() { e.injectEvacuations(seed, faultPeriod) })
		e.injectFaults(faultPeriod)
		evacuating.Wait()
	})
}

// newEnvironment returns an environment whose faults follow from the seed.
func newEnvironment(t *testing.T, seed uint64) *environment {
	return &environment{t: t, memoryMB: 1024, grace: grace, random: rand.New(rand.NewPCG(seed, seed)), startTime: time.Now()}
}

// startPlatform starts the store, and targets for the shards and for single requests. It sets
// the options that are the same in all runs, and the objective if there is none.
func (e *environment) startPlatform(o deployment.Options, singles int) {
	o.Shards, o.Records, o.TopK = shards, records, topK
	o.Objective, o.LeastCoverage = cmp.Or(o.Objective, objective), minCoverage
	o.Limits = catalog.Limits{MaxHeaderBytes: 4096, MaxBodyBytes: 65536, HeaderTimeout: 2 * time.Second, IdleTimeout: 5 * time.Second}
	var err error
	e.platform, err = deployment.Start(o)
	require.NoError(e.t, err)
	e.t.Cleanup(e.platform.Close)
	for i := range shards {
		e.addTargets(deployment.Shard(i), replicas)
	}
	e.addTargets(deployment.Single, singles)
}

// run runs hosts while injectFaults injects faults, and checks the guarantees.
func (e *environment) run(hosts int, injectFaults func()) {
	e.startPlatform(deployment.Options{
		Attempts: 3, Work: work, Timeout: timeout,
		Fault:  func(string, string) searcher.Fault { return e.pickTargetFault() },
		Domain: domainOf,
	}, singles)
	e.addHosts(hosts)
	harness.Eventually(e.t, "all hosts are ready", e.allReady)
	stop := e.startCallers()
	injectFaults()
	e.awaitRecovery("faults")
	e.checkEvacuation()
	stop()
	e.check()
}

// publish publishes the current configuration under the next version. It holds the
// lock because faults that publish may overlap.
func (e *environment) publish() {
	e.mu.Lock()
	defer e.mu.Unlock()
	require.NoError(e.t, e.platform.Publish(e.platform.Config()))
}

// pick returns a random number in [0, n).
func (e *environment) pick(n int) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.random.IntN(n)
}

// between returns a random duration in [low, high).
func (e *environment) between(low, high time.Duration) time.Duration {
	return low + time.Duration(e.pick(int(high-low)))
}

func (e *environment) addTargets(service string, n int) {
	for i := range n {
		t := &target{env: e, service: service, name: fmt.Sprintf("%s-%d", service, i)}
		t.start()
		proxy, err := faultproxy.Start(t.current.Addr())
		require.NoError(e.t, err)
		e.t.Cleanup(proxy.Close)
		t.proxy = proxy
		t.register()
		e.targets = append(e.targets, t)
	}
}

// pickTargetFault chooses the fault that a target injects into a request.
func (e *environment) pickTargetFault() searcher.Fault {
	kinds := []searcher.Fault{
		searcher.Shed, searcher.FailRun, searcher.LoseAnswer, searcher.CutAnswer, searcher.TwoAnswers, searcher.NoLength,
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.random.Float64() >= e.faultShare {
		return searcher.None
	}
	return kinds[e.random.IntN(len(kinds))]
}

func (e *environment) setFaultShare(share float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faultShare = share
}
