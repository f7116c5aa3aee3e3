package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"time"
)

// The stale cases have the figures of the deployment fpvra-vane-grown.
const (
	staleHost     = "pupu76.example"
	staleOld      = "audit-archive"
	staleNew      = "kiosk-capture"
	staleEach     = 4
	staleSlots    = 3
	staleConns    = 410
	staleWork     = 60 * time.Millisecond
	staleSpread   = 0.5
	staleDeadline = 4 * time.Second
	staleApply    = 5 * time.Second
	// staleAway is the longest time of the site for which the store turns machines away.
	staleAway     = 9 * time.Second
	staleMachines = 3
	staleRate     = 40.0
	// staleShards is the number of shards of two searchers each beside the two services: the
	// four searchers that one machine doesn't reach are a fifth of all.
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

// staleCase: the configuration changes while the store turns one machine away, and another machine
// loses its path to the searchers of one service and passes requests on to the first.
func staleCase(rec *record, dir string, trouble bool, changeOf func() change) int {
	st, err := startStore()
	if err != nil {
		return cannot
	}
	var all []*searcher
	add := func(service string, n int) bool {
		for i := range n {
			s, err := startSearcher(rec, service, fmt.Sprintf("i-%s-%d", service, i+1), staleSlots, 12, staleWork)
			if err != nil {
				return false
			}
			s.spread = staleSpread
			all = append(all, s)
		}
		return true
	}
	services := []any{}
	names := []string{staleOld, staleNew}
	for i := range staleShards {
		names = append(names, fmt.Sprintf("diff-review-%d", i+1))
	}
	for i, name := range names {
		n := 2
		if i < 2 {
			n = staleEach
		}
		if !add(name, n) {
			return cannot
		}
		services = append(services, map[string]any{"name": name, "max_conns": staleConns, "health_path": "/health"})
	}
	defer func() {
		for _, s := range all {
			s.stop()
		}
	}()
	proxies, addrs := []*proxy{}, map[string]string{}
	for _, s := range all {
		if s.service != staleNew {
			continue
		}
		p, err := startProxy(s.addr)
		if err != nil {
			return cannot
		}
		proxies, addrs[s.addr] = append(proxies, p), p.addr
	}
	cutOne, err := st.view(addrs)
	if err != nil {
		return cannot
	}
	turnedAway, err := st.view(nil)
	if err != nil {
		return cannot
	}
	sweep := map[string]any{
		"name": "drift-check", "host": staleHost, "prefix": "/drift/", "type": "safe", "timeout_ms": 600, "slo_ms": 40,
		"priority": 2, "attempts": 2, "gather": names[2:], "top_k": 5, "oldest_version": 0.85,
	}
	c := changeOf()
	st.put("op/config", configOf(1, services, append(c.before, sweep)...))
	for _, s := range all {
		st.put("servers/"+s.id, s.entry("ready"))
	}
	daemons := newDaemons(dir, staleMachines, grownBounds, func(i int) string {
		return []string{cutOne.addr, turnedAway.addr, st.addr}[i]
	})
	defer killAll(daemons)
	if !startAll(rec, daemons) {
		return cannot
	}
	first := daemons[0]
	stopSweeps := make(chan struct{})
	var sweeps sync.WaitGroup
	for _, d := range daemons {
		sweeps.Go(func() { sweepAlways(d, stopSweeps) })
	}
	load := startLoad(rec, daemons, staleRate, func(c *clientConn, id string) result {
		return c.do("GET", staleHost, "/snap/x", id, nil, staleDeadline)
	})
	time.Sleep(4 * time.Second)
	if trouble {
		rec.line("the store turns %s away for %v", daemons[1].name, staleAway)
		turnedAway.turnAway()
	}
	began := time.Now()
	time.Sleep(500 * time.Millisecond)
	acked := st.put("op/config", configOf(2, services, append(c.after, sweep)...))
	rec.line("store: acknowledged version 2")
	time.Sleep(time.Second)
	if trouble {
		rec.line("%s loses its path to the searchers of %s", first.name, staleNew)
		for _, p := range proxies {
			p.cut()
		}
	}
	time.Sleep(time.Until(acked.Add(staleApply)))
	rec.line("version 2 is due everywhere")
	watched := &watchedLoad{}
	ticker := time.NewTicker(time.Duration(float64(time.Second) / staleRate))
	defer ticker.Stop()
	for time.Now().Before(began.Add(staleAway - 200*time.Millisecond)) {
		<-ticker.C
		watched.send(rec, first, c.path)
	}
	watched.wait.Wait()
	load.stop()
	close(stopSweeps)
	sweeps.Wait()
	return watched.judge(rec, all, c, load)
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
				rec.line("OLD: %s ran at %s, as only version 1 allows", a.id, s.id)
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
	rec.say("%d requests sent after version 2 was due; %d runs at the service of version 1; %d requests ran more than once", len(l.ids), old, twice)
	if len(l.ids) < 20 {
		return cannot
	}
	if c.twice {
		return verdictOf(twice > 0, load)
	}
	return verdictOf(old > 0, load)
}
