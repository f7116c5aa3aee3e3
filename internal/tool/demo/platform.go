package demo

import (
	"context"
	"io"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jedib0t/go-pretty/v6/table"
	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/standin/deployment"
	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

const (
	demoShards   = 20
	demoReplicas = 2
	demoSingles  = 4
	demoWork     = 4 * time.Millisecond
	demoRecords  = 50
	demoTopK     = 50
	// demoObjective and demoTimeout are the latency objective and the timeout of
	// the routes.
	demoObjective = 80 * time.Millisecond
	demoTimeout   = 10 * time.Second
	demoCoverage  = 0.95
	// requestsPerScenario is the number of requests sent in each scenario.
	requestsPerScenario = 200
	// orderRoute is the route whose requests must not be run twice.
	orderRoute = "order"
	// readyTimeout bounds the wait until every host has answered from all shards.
	readyTimeout = 10 * time.Second
)

// scenario is one kind of request, sent with or without a fault in a target.
type scenario struct {
	name  string
	route string
	// inject starts the fault and returns a function that ends it, which does
	// nothing for a closed target. inject is nil if the scenario has no fault.
	inject func(d *deployment.Deployment) (end func())
}

func scenarios() []scenario {
	return []scenario{
		{name: "sweep over all shards", route: "sweep"},
		{name: "the same, one target stands still", route: "sweep", inject: func(d *deployment.Deployment) func() {
			return d.Searchers[deployment.Shard(0)][0].Pause()
		}},
		{name: "the same, one target ended", route: "sweep", inject: func(d *deployment.Deployment) func() {
			d.Searchers[deployment.Shard(1)][0].Close()
			return func() {}
		}},
		{name: "one record", route: "read"},
		{name: "an order, not to be repeated", route: orderRoute},
	}
}

// runPlatform runs the demo of hosts in platform mode, with a stand-in for the
// platform.
func runPlatform(ctx context.Context, out, progress io.Writer) error {
	printProgress(progress, "starting a store, %d targets and %d hosts in this process", demoShards*demoReplicas+demoSingles, demoHosts)
	d, err := deployment.Start(deployment.Options{
		Shards: demoShards, Replicas: demoReplicas, Singles: demoSingles, Attempts: 2, Work: demoWork,
		Records: demoRecords, TopK: demoTopK, Timeout: demoTimeout, Objective: demoObjective, LeastCoverage: demoCoverage,
		Limits: catalog.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second},
	})
	if err != nil {
		return err
	}
	defer d.Close()
	hosts, err := startEdgeHosts(d, demoHosts, discardLogger())
	defer stopEdgeHosts(hosts)
	if err != nil {
		return err
	}
	return newPlatformDemo(d, hosts, out, progress).run(ctx)
}

func stopEdgeHosts(hosts []edgeHost) {
	var all sync.WaitGroup
	for _, h := range hosts {
		all.Go(func() { h.host.Stop() })
	}
	all.Wait()
}

// platformDemo sends the requests of each scenario and prints a row of results
// for it.
type platformDemo struct {
	deployment *deployment.Deployment
	callers    []*platformCaller
	out        table.Writer
	progress   io.Writer
	sent       int
}

func newPlatformDemo(d *deployment.Deployment, hosts []edgeHost, out, progress io.Writer) *platformDemo {
	p := &platformDemo{deployment: d, out: table.NewWriter(), progress: progress}
	for _, h := range hosts {
		p.callers = append(p.callers, newPlatformCaller(h.addr))
	}
	p.out.SetOutputMirror(out)
	p.out.AppendHeader(table.Row{"request", "answered", "shards missing", "p50 ms", "worst ms", "arrivals at targets", "orders run twice"})
	return p
}

func (p *platformDemo) run(ctx context.Context) error {
	if err := p.waitReady(ctx); err != nil {
		return err
	}
	for _, sc := range scenarios() {
		printProgress(p.progress, "%s", sc.name)
		if err := p.runScenario(ctx, &sc); err != nil {
			return eris.Wrap(err, sc.name)
		}
	}
	p.out.Render()
	return nil
}

// waitReady waits until each host has answered a sweep from all shards.
func (p *platformDemo) waitReady(ctx context.Context) error {
	end := time.Now().Add(readyTimeout)
	for i := range p.callers {
		for {
			a, err := p.ask(ctx, i, "sweep")
			if err == nil && a.status == 200 && a.missing == 0 {
				break
			}
			if time.Now().After(end) {
				return eris.Errorf("host %d did not answer from all shards: %v", i, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (p *platformDemo) runScenario(ctx context.Context, sc *scenario) error {
	if sc.inject != nil {
		defer sc.inject(p.deployment)()
	}
	before := p.count((*searcher.Searcher).Arrivals)
	answered, missing := 0, 0
	var times []time.Duration
	for i := range requestsPerScenario {
		began := time.Now()
		a, err := p.ask(ctx, i%len(p.callers), sc.route)
		if err != nil {
			return err
		}
		times = append(times, time.Since(began))
		if a.status == 200 {
			answered++
		}
		missing += a.missing
	}
	slices.Sort(times)
	arrivals := p.count((*searcher.Searcher).Arrivals) - before
	p.out.AppendRow(table.Row{
		sc.name, strconv.Itoa(answered) + " of " + strconv.Itoa(requestsPerScenario), missing,
		milliseconds(times[len(times)/2]), milliseconds(times[len(times)-1]), arrivals, p.repeated(),
	})
	return nil
}

func (p *platformDemo) ask(ctx context.Context, host int, route string) (platformAnswer, error) {
	p.sent++
	return p.callers[host].ask(ctx, route, route+"-"+strconv.Itoa(p.sent))
}

// count returns the sum of a counter over all searchers.
func (p *platformDemo) count(of func(*searcher.Searcher) map[string]int) int {
	sum := 0
	for _, list := range p.deployment.Searchers {
		for _, one := range list {
			for _, n := range of(one) {
				sum += n
			}
		}
	}
	return sum
}

// repeated returns the number of orders that ran more than once.
func (p *platformDemo) repeated() int {
	runs := map[string]int{}
	for _, one := range p.deployment.Searchers[deployment.Single] {
		for id, n := range one.Runs() {
			if strings.HasPrefix(id, orderRoute) {
				runs[id] += n
			}
		}
	}
	repeated := 0
	for _, n := range runs {
		if n > 1 {
			repeated++
		}
	}
	return repeated
}
