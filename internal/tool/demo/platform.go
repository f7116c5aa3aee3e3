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
	// demoObjective and demoTimeout are those of the routes.
	demoObjective = 80 * time.Millisecond
	demoTimeout   = 10 * time.Second
	demoCoverage  = 0.95
	// rounds is the number of requests of each kind.
	rounds = 200
	// orderRoute is the route whose requests must not be repeated.
	orderRoute = "order"
	// settleWithin bounds the wait for the hosts' first whole answers.
	settleWithin = 10 * time.Second
)

// scene is one kind of request, asked while something happens to the targets.
type scene struct {
	name  string
	route string
	// begin lets it happen and returns what ends it; it may be nil.
	begin func(d *deployment.Deployment) (end func())
}

func scenes() []scene {
	return []scene{
		{name: "sweep over all shards", route: "sweep"},
		{name: "the same, one target stands still", route: "sweep", begin: func(d *deployment.Deployment) func() {
			return d.Searchers[deployment.Shard(0)][0].Pause()
		}},
		{name: "the same, one target ended", route: "sweep", begin: func(d *deployment.Deployment) func() {
			d.Searchers[deployment.Shard(1)][0].Close()
			return func() {}
		}},
		{name: "one record", route: "read"},
		{name: "an order, not to be repeated", route: orderRoute},
	}
}

// runPlatform shows hosts in the platform's mode on a stand-in of it.
func runPlatform(ctx context.Context, out, progress io.Writer) error {
	say(progress, "starting a store, %d targets and %d hosts in this process", demoShards*demoReplicas+demoSingles, demoHosts)
	d, err := deployment.Start(deployment.Options{
		Shards: demoShards, Replicas: demoReplicas, Singles: demoSingles, Attempts: 2, Work: demoWork,
		Records: demoRecords, TopK: demoTopK, Timeout: demoTimeout, Objective: demoObjective, LeastCoverage: demoCoverage,
		Limits: catalog.Limits{MaxHeaderBytes: 8192, MaxBodyBytes: 1 << 20, HeaderTimeout: time.Second, IdleTimeout: 10 * time.Second},
	})
	if err != nil {
		return err
	}
	defer d.Close()
	hosts, err := startEdgeHosts(d, demoHosts, silent())
	defer stopAll(hosts)
	if err != nil {
		return err
	}
	return newShow(d, hosts, out, progress).run(ctx)
}

func stopAll(hosts []edgeHost) {
	var all sync.WaitGroup
	for _, h := range hosts {
		all.Go(func() { h.host.Stop() })
	}
	all.Wait()
}

// show asks the requests of each scene and prints what came of them.
type show struct {
	deployment *deployment.Deployment
	callers    []*rawCaller
	out        table.Writer
	progress   io.Writer
	asked      int
}

func newShow(d *deployment.Deployment, hosts []edgeHost, out, progress io.Writer) *show {
	s := &show{deployment: d, out: table.NewWriter(), progress: progress}
	for _, h := range hosts {
		s.callers = append(s.callers, newRawCaller(h.addr))
	}
	s.out.SetOutputMirror(out)
	s.out.AppendHeader(table.Row{"request", "answered", "shards missing", "p50 ms", "worst ms", "arrivals at targets", "orders run twice"})
	return s
}

func (s *show) run(ctx context.Context) error {
	if err := s.settle(ctx); err != nil {
		return err
	}
	for _, sc := range scenes() {
		say(s.progress, "%s", sc.name)
		if err := s.play(ctx, &sc); err != nil {
			return eris.Wrap(err, sc.name)
		}
	}
	s.out.Render()
	return nil
}

// settle waits until each host serves whole answers.
func (s *show) settle(ctx context.Context) error {
	end := time.Now().Add(settleWithin)
	for i := range s.callers {
		for {
			a, err := s.ask(ctx, i, "sweep")
			if err == nil && a.status == 200 && a.missing == 0 {
				break
			}
			if time.Now().After(end) {
				return eris.Errorf("host %d gave no whole answer: %v", i, err)
			}
			time.Sleep(10 * time.Millisecond)
		}
	}
	return nil
}

func (s *show) play(ctx context.Context, sc *scene) error {
	if sc.begin != nil {
		defer sc.begin(s.deployment)()
	}
	before := s.count((*searcher.Searcher).Arrivals)
	answered, missing := 0, 0
	var times []time.Duration
	for i := range rounds {
		began := time.Now()
		a, err := s.ask(ctx, i%len(s.callers), sc.route)
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
	arrivals := s.count((*searcher.Searcher).Arrivals) - before
	s.out.AppendRow(table.Row{
		sc.name, strconv.Itoa(answered) + " of " + strconv.Itoa(rounds), missing,
		milliseconds(times[len(times)/2]), milliseconds(times[len(times)-1]), arrivals, s.repeated(),
	})
	return nil
}

func (s *show) ask(ctx context.Context, host int, route string) (rawAnswer, error) {
	s.asked++
	return s.callers[host].ask(ctx, route, route+"-"+strconv.Itoa(s.asked))
}

// count adds up what all searchers counted.
func (s *show) count(of func(*searcher.Searcher) map[string]int) int {
	sum := 0
	for _, list := range s.deployment.Searchers {
		for _, one := range list {
			for _, n := range of(one) {
				sum += n
			}
		}
	}
	return sum
}

// repeated is the number of orders that ran more than once.
func (s *show) repeated() int {
	runs := map[string]int{}
	for _, one := range s.deployment.Searchers[deployment.Single] {
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
