package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The stale cases have the figures of the deployment fpvra-vane.
const (
	staleHost     = "pupu76.example"
	staleOld      = "audit-archive"
	staleNew      = "kiosk-capture"
	staleEach     = 4
	staleSlots    = 3
	staleConns    = 100
	staleWork     = 60 * time.Millisecond
	staleSpread   = 0.5
	staleDeadline = 4 * time.Second
	staleApply    = 3 * time.Second
	// staleCut is the longest core_cut of the site, staleAlone the time for which a machine reaches
	// no searcher, at most 12 s by the letter that names it.
	staleCut      = 5500 * time.Millisecond
	staleAlone    = 5 * time.Second
	staleMachines = 3
	staleRate     = 50.0
	// staleRounds is how often all of it comes, staleRound the time from one to the next.
	staleRounds = 4
	staleRound  = 16 * time.Second
	// staleShards is the number of shards of two searchers each beside the two services.
	staleShards = 6
)

// change is a change of the configuration: the routes before and after it, and the path of the
// requests to watch.
type change struct {
	before, after []any
	path          string
	// twice is set if the rule is TWICE, otherwise it is CONFIG.
	twice bool
}

func singleRoute(name, prefix, kind, service string) map[string]any {
	return map[string]any{
		"name": name, "host": staleHost, "prefix": prefix, "type": kind, "timeout_ms": staleDeadline.Milliseconds(), "slo_ms": 250,
		"priority": 2, "attempts": 2, "service": service,
	}
}

// movedRoute moves a route to another service.
func movedRoute() change {
	return change{
		before: []any{singleRoute("snap-fetch", "/snap/", "safe", staleOld)},
		after:  []any{singleRoute("snap-fetch", "/snap/", "safe", staleNew)},
		path:   "/snap/x",
	}
}

// addedRoute adds a route for requests that must not run twice below the prefix of another one.
func addedRoute() change {
	old := singleRoute("snap-fetch", "/snap/", "safe", staleOld)
	return change{
		before: []any{old},
		after:  []any{old, singleRoute("snap-file", "/snap/file/", "unsafe", staleNew)},
		path:   "/snap/file/x",
		twice:  true,
	}
}

// staleCase: the configuration changes while one machine is cut off from the store, and another
// one is partitioned from the searchers and passes requests on to the first.
func staleCase(rec *record, dir string, trouble bool, changeOf func() change) int {
	w, err := newStaleWorld(rec, dir)
	if err != nil {
		rec.say("%v", err)
		return cannot
	}
	defer w.close()
	w.change = changeOf()
	w.publish(w.before)
	for _, s := range w.searchers {
		w.store.put("servers/"+s.id, s.entry("ready"))
	}
	if !startAll(rec, w.daemons) {
		return cannot
	}
	stop := make(chan struct{})
	var sweeps sync.WaitGroup
	for _, d := range w.daemons {
		sweeps.Go(func() { sweepAlways(d, stop) })
	}
	load := startLoad(rec, w.daemons, staleRate/2, func(c *clientConn, id string) result {
		return c.do("GET", staleHost, "/snap/x", id, nil, staleDeadline)
	})
	time.Sleep(4 * time.Second)
	watched := &watchedLoad{}
	for range staleRounds {
		began := time.Now()
		w.round(watched, trouble)
		time.Sleep(time.Until(began.Add(staleRound)))
	}
	watched.wait.Wait()
	load.stop()
	close(stop)
	sweeps.Wait()
	return watched.judge(rec, w.searchers, w.change, load)
}

// staleWorld is the platform of the stale cases, of which machine 1 reaches the searchers, and
// machine 2 the store, by proxies.
type staleWorld struct {
	change
	rec       *record
	store     *store
	searchers []*searcher
	names     []string
	services  []any
	daemons   []*daemon
	paths     []*proxy
	toStore   *proxy
	version   int
}

func newStaleWorld(rec *record, dir string) (*staleWorld, error) {
	w := &staleWorld{rec: rec}
	var err error
	if w.store, err = startStore(); err != nil {
		return nil, err
	}
	w.names = []string{staleOld, staleNew}
	for i := range staleShards {
		w.names = append(w.names, fmt.Sprintf("diff-review-%d", i+1))
	}
	for i, name := range w.names {
		n := 2
		if i < 2 {
			n = staleEach
		}
		if err := w.addService(name, n); err != nil {
			return nil, err
		}
	}
	addrs := map[string]string{}
	for _, p := range w.paths {
		addrs[p.to] = p.addr
	}
	ofFirst, err := w.store.view(addrs)
	if err != nil {
		return nil, err
	}
	if w.toStore, err = startProxy(w.store.addr); err != nil {
		return nil, err
	}
	w.daemons = newDaemons(dir, staleMachines, smallBounds, func(i int) string {
		return []string{ofFirst.addr, w.toStore.addr, w.store.addr}[i]
	})
	return w, nil
}

// addService starts the searchers of a service.
func (w *staleWorld) addService(name string, n int) error {
	for i := range n {
		s, err := startSearcher(w.rec, name, fmt.Sprintf("i-%s-%d", name, i+1), staleSlots, 12, staleWork)
		if err != nil {
			return err
		}
		s.spread = staleSpread
		w.searchers = append(w.searchers, s)
		p, err := startProxy(s.addr)
		if err != nil {
			return err
		}
		w.paths = append(w.paths, p)
	}
	w.services = append(w.services, map[string]any{"name": name, "max_conns": staleConns, "health_path": "/health"})
	return nil
}

// publish writes the next version of the configuration with the routes and one for sweeps.
func (w *staleWorld) publish(routes []any) time.Time {
	w.version++
	sweep := map[string]any{
		"name": "drift-check", "host": staleHost, "prefix": "/drift/", "type": "safe", "timeout_ms": 600, "slo_ms": 40,
		"priority": 2, "attempts": 2, "gather": w.names[2:], "top_k": 5, "oldest_version": 0.85,
	}
	all := append(append([]any{}, routes...), sweep)
	at := w.store.put("op/config", configOf(w.version, w.services, all...))
	w.rec.line("store: acknowledged version %d", w.version)
	return at
}

// round changes the configuration and, once it is due everywhere, sends requests to machine 1.
func (w *staleWorld) round(watched *watchedLoad, trouble bool) {
	began := time.Now()
	if trouble {
		w.rec.line("%s is cut off from the store for %v", w.daemons[1].name, staleCut)
		w.toStore.cut()
	}
	time.Sleep(50 * time.Millisecond)
	acked := w.publish(w.after)
	time.Sleep(time.Until(began.Add(1200 * time.Millisecond)))
	if trouble {
		w.rec.line("%s is partitioned from all searchers for %v", w.daemons[0].name, staleAlone)
		for _, p := range w.paths {
			p.cut()
		}
	}
	time.Sleep(time.Until(acked.Add(staleApply)))
	w.rec.line("version %d is due everywhere", w.version)
	ticker := time.NewTicker(time.Duration(float64(time.Second) / staleRate))
	defer ticker.Stop()
	for time.Now().Before(began.Add(staleCut)) {
		<-ticker.C
		watched.send(w.rec, w.daemons[0], w.path)
	}
	if trouble {
		w.rec.line("%s reaches the store again", w.daemons[1].name)
		w.check(w.toStore.heal())
	}
	time.Sleep(time.Until(began.Add(1200*time.Millisecond + staleAlone)))
	if trouble {
		w.rec.line("%s reaches the searchers again", w.daemons[0].name)
		for _, p := range w.paths {
			w.check(p.heal())
		}
	}
	time.Sleep(2 * time.Second)
	w.publish(w.before)
}

func (w *staleWorld) check(err error) {
	if err != nil {
		w.rec.say("%v", err)
	}
}

func (w *staleWorld) close() {
	killAll(w.daemons)
	for _, s := range w.searchers {
		s.stop()
	}
}

// sweepAlways sends a sweep at a time, so that the machine keeps in touch with the shards.
func sweepAlways(d *daemon, stop chan struct{}) {
	ticker := time.NewTicker(100 * time.Millisecond)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		if c, err := dialFront(d.front); err == nil {
			c.do("GET", staleHost, "/drift/x", newID(), nil, 600*time.Millisecond)
			_ = c.raw.Close()
		}
	}
}

func newID() string { return fmt.Sprintf("%016x", rand.Uint64()) }

// watchedLoad are the watched requests, which are sent once the new version is due.
type watchedLoad struct {
	wait sync.WaitGroup
	mu   sync.Mutex
	ids  map[string]string
}

func (l *watchedLoad) send(rec *record, at *daemon, path string) {
	id := newID()
	l.wait.Go(func() {
		c, err := dialFront(at.front)
		if err != nil {
			return
		}
		defer c.raw.Close()
		rec.line("client: %s sent to %s (watched, %s)", id, at.name, path)
		r := c.do("POST", staleHost, path, id, []byte("snap"), staleDeadline)
		rec.line("client: %s got %s", id, r.text())
		l.mu.Lock()
		defer l.mu.Unlock()
		if l.ids == nil {
			l.ids = map[string]string{}
		}
		l.ids[id] = r.text()
	})
}

func (l *watchedLoad) judge(rec *record, all []*searcher, c change, load *load) int {
	runs, old := map[string]int{}, 0
	for _, s := range all {
		for _, a := range s.arrivals() {
			if _, watched := l.ids[a.id]; !watched || !a.ran {
				continue
			}
			runs[a.id]++
			if s.service == staleOld {
				old++
				rec.line("OLD: %s ran at %s, as only the old version allows", a.id, s.id)
			}
		}
	}
	twice := 0
	for id, n := range runs {
		if n > 1 {
			twice++
			rec.line("TWICE: %s ran %d times and got %s", id, n, l.ids[id])
		}
	}
	rec.say("%d requests sent after the new version was due; %d runs at the service of the old one; %d requests ran more than once", len(l.ids), old, twice)
	if len(l.ids) < 20 {
		return cannot
	}
	if c.twice {
		return verdictOf(twice > 0, load)
	}
	return verdictOf(old > 0, load)
}
