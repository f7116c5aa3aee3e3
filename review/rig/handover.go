package main

import (
	"fmt"
	"net"
	"sync"
	"time"
)

const (
	// configApply and downgrade are config_apply_ms and downgrade_ms of the bounds.
	configApply = 3 * time.Second
	downgrade   = 250 * time.Millisecond
	// turnedAwayFor is how long the store turns one machine away, cutFor how long another
	// one is partitioned from the searchers.
	turnedAwayFor = 9 * time.Second
	cutFor        = 4 * time.Second
)

// The services of the route, before and after the change of the configuration.
const (
	oldService = "archive"
	newService = "intake"
)

// links are the links of each machine to each searcher.
type links struct {
	block func(machine int) string

	mu      sync.Mutex
	proxies map[int]map[string]*proxy
}

// to returns the address at which a machine reaches a searcher.
func (l *links) to(machine int, addr string) string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.proxies[machine] == nil {
		l.proxies[machine] = map[string]*proxy{}
	}
	p := l.proxies[machine][addr]
	if p == nil {
		var err error
		if p, err = startProxy("127.0.0.1", addr); err != nil {
			panic(err)
		}
		l.proxies[machine][addr] = p
	}
	return p.addr
}

// all calls f with each link of a machine.
func (l *links) all(machine int, f func(*proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies[machine] {
		f(p)
	}
}

// handover plays a change of a route's service while the store turns one machine away, and
// then a partition of another machine from all searchers. It reports whether requests at that
// machine were run by the old service after the new one had run some.
func handover(rec *record, trouble bool) (bool, error) {
	l := &links{proxies: map[int]map[string]*proxy{}}
	s, err := newSystem(rec, []string{"zone-a", "zone-b", "zone-c"}, func(machine int) func(item) item {
		return func(it item) item { return withAddress(it, func(addr string) string { return l.to(machine, addr) }) }
	})
	if err != nil {
		return false, err
	}
	defer s.end()
	zones := []string{"zone-a", "zone-b", "zone-c", "zone-a"}
	services := []string{oldService, newService}
	for _, service := range services {
		for i, zone := range zones {
			opts := searcherOptions{service: service, zone: zone, slots: 3, work: 30 * time.Millisecond}
			if _, err := startSearcher(fmt.Sprintf("%s-%d", service, i+1), opts, rec, s.store, s.runs); err != nil {
				return false, err
			}
		}
	}
	routes := func(service string) []route {
		return []route{{name: "fetch", prefix: "/fetch/", service: service, timeout: 4 * time.Second, objective: 250 * time.Millisecond}}
	}
	s.configure(routes(oldService), services)
	if err := s.start(); err != nil {
		return false, err
	}
	c := newClient(rec)
	const cut, stale = 0, 1
	watch := &served{system: s, client: c, node: s.nodes[cut]}
	watch.sendFor(contact + time.Second)
	if trouble {
		rec.write("store turns a machine away", fields{"machine": s.nodes[stale].name, "for_s": turnedAwayFor.Seconds()})
		s.doors[stale].turnAway(true)
		time.AfterFunc(turnedAwayFor, func() { s.doors[stale].turnAway(false); rec.write("store serves the machine again", nil) })
	}
	watch.sendFor(time.Second)
	s.configure(routes(newService), services)
	watch.acknowledged = time.Now()
	watch.sendFor(configApply + 200*time.Millisecond)
	if trouble {
		rec.write("machine partitioned from all searchers", fields{"machine": s.nodes[cut].name, "for_s": cutFor.Seconds()})
		l.all(cut, func(p *proxy) { p.cut() })
	}
	watch.sendFor(cutFor)
	if trouble {
		var failed error
		l.all(cut, func(p *proxy) {
			if err := p.heal(); err != nil {
				failed = err
			}
		})
		if failed != nil {
			return false, failed
		}
		rec.write("partition healed", nil)
	}
	watch.sendFor(6 * time.Second)
	watch.all.Wait()
	rec.write("verdict", fields{
		"sent": watch.sent, "run_by_new_service": watch.new, "run_by_old_service_after_new": watch.regressed, "run_by_old_service_after_bound": watch.overdue,
	})
	return watch.regressed > 0 || watch.overdue > 0, nil
}

// served sends requests to one machine and notes which service runs them.
type served struct {
	system *system
	client *client
	node   *node
	all    sync.WaitGroup

	mu           sync.Mutex
	acknowledged time.Time
	// seen is when a searcher of the new service first ran a request.
	seen time.Time
	sent int
	new  int
	// regressed counts the requests that were sent more than downgrade_ms after seen, and
	// overdue those sent more than config_apply_ms after acknowledged, and that the old
	// service ran.
	regressed int
	overdue   int
}

// sendFor sends requests at a steady rate.
func (w *served) sendFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(60 * time.Millisecond) {
		w.sent++
		number, acknowledged := w.sent, w.acknowledged
		w.all.Go(func() { w.one(number, acknowledged) })
	}
}

func (w *served) one(number int, acknowledged time.Time) {
	a := w.client.send(w.node, fmt.Sprintf("/fetch/%d", number), 4*time.Second)
	for _, r := range w.system.runs.of(a.id) {
		w.note(a, r, acknowledged)
	}
}

func (w *served) note(a answer, r run, acknowledged time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.service == newService {
		w.new++
		if w.seen.IsZero() || r.at.Before(w.seen) {
			w.seen = r.at
		}
		return
	}
	regressed := !w.seen.IsZero() && a.sent.Sub(w.seen) > downgrade
	overdue := !acknowledged.IsZero() && a.sent.Sub(acknowledged) > configApply
	if regressed {
		w.regressed++
	}
	if overdue {
		w.overdue++
	}
	if regressed || overdue {
		w.client.rec.write("run by the old service", fields{"request": a.id, "machine": w.node.name, "status": a.status, "searcher": r.searcher})
	}
}

// withAddress returns an entry of a searcher with another address.
func withAddress(it item, to func(string) string) item {
	entry, ok := decodeEntry(it)
	if !ok {
		return it
	}
	addr, _ := entry["address"].(string)
	if _, _, err := net.SplitHostPort(addr); err != nil {
		return it
	}
	entry["address"] = to(addr)
	return encodeEntry(it, entry)
}
