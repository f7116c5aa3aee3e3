package main

import (
	"fmt"
	"net"
	"slices"
	"sync"
	"time"
)

const (
	// downgrade is downgrade_ms of the bounds.
	downgrade = 250 * time.Millisecond
	// cutFor is how long a machine is partitioned from the searchers.
	cutFor = 12 * time.Second
	// freezeAfter is the time from the begin of the partition until a seed stands still, for
	// freezeFor. changeAfter later the configuration changes.
	freezeAfter = 4500 * time.Millisecond
	freezeFor   = 3500 * time.Millisecond
	changeAfter = 50 * time.Millisecond
	// searchersEach is the number of searchers of each service.
	searchersEach = 2
	// betweenRequests is the time between two requests to the machine.
	betweenRequests = 20 * time.Millisecond
)

// machines are those of the case: three seeds, three others, and the one that is cut off, whose
// own settings still name it as a seed.
const (
	seeds    = 3
	cut      = 6
	machines = 7
)

// links are the links of each machine to each searcher.
type links struct {
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

// heal ends the partition of a machine.
func (l *links) heal(machine int) error {
	var failed error
	l.all(machine, func(p *proxy) {
		if err := p.heal(); err != nil {
			failed = err
		}
	})
	return failed
}

// all calls f with each link of a machine.
func (l *links) all(machine int, f func(*proxy)) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, p := range l.proxies[machine] {
		f(p)
	}
}

// handover plays a partition of one machine from all searchers. During it a seed stands still
// and the configuration moves a route to another service, once for each seed. It reports
// whether requests sent to the machine that is cut off were run by a service of an older version
// after searchers had seen a newer one.
func handover(rec *record, trouble bool) (bool, error) {
	l := &links{proxies: map[int]map[string]*proxy{}}
	all := []string{"zone-a", "zone-b", "zone-c"}
	var zones []string
	for i := range machines {
		zones = append(zones, all[i%len(all)])
	}
	s, err := newSystem(rec, zones, func(machine int) func(item) item {
		if machine != cut {
			return nil
		}
		return func(it item) item { return withAddress(it, func(addr string) string { return l.to(machine, addr) }) }
	})
	if err != nil {
		return false, err
	}
	defer s.end()
	own := s.set
	own.seeds = append([]string{s.ip(cut) + ":" + controlPort}, s.set.seeds[1:]...)
	if err := s.nodes[cut].writeSettings(s.doors[cut].addr, own, true); err != nil {
		return false, err
	}
	var services []string
	for i := range 1 + seeds {
		services = append(services, fmt.Sprintf("service-%d", i))
		for j := range searchersEach {
			opts := searcherOptions{service: services[i], zone: all[(i+j)%len(all)], slots: 3, work: 20 * time.Millisecond}
			if _, err := startSearcher(fmt.Sprintf("%s-%d", services[i], j+1), opts, rec, s.store, s.runs); err != nil {
				return false, err
			}
		}
	}
	configure := func(version int) {
		s.configure([]route{{name: "fetch", prefix: "/fetch/", service: services[version], timeout: 4 * time.Second, objective: 250 * time.Millisecond}}, services)
	}
	configure(0)
	if err := s.start(); err != nil {
		return false, err
	}
	w := &served{system: s, client: newClient(rec), node: s.nodes[cut], services: services, seen: map[int]time.Time{}}
	w.sendFor(contact + time.Second)
	for seed := range seeds {
		if trouble {
			rec.write("machine partitioned from all searchers", fields{"machine": w.node.name, "for_s": cutFor.Seconds()})
			l.all(cut, func(p *proxy) { p.cut() })
		}
		began := time.Now()
		w.sendFor(freezeAfter)
		if trouble {
			s.nodes[seed].freeze(freezeFor)
		}
		w.sendFor(changeAfter)
		configure(seed + 1)
		w.sendFor(cutFor - time.Since(began))
		if trouble {
			if err := l.heal(cut); err != nil {
				return false, err
			}
			rec.write("partition healed", nil)
		}
		w.sendFor(contact + time.Second)
	}
	w.all.Wait()
	regressed := w.regressed()
	rec.write("verdict", fields{"sent": w.sent, "run": len(w.list), "handled_as_an_older_version": regressed})
	return regressed > 0, nil
}

// served sends requests to one machine and notes which services run them.
type served struct {
	system   *system
	client   *client
	node     *node
	services []string
	all      sync.WaitGroup
	sent     int

	mu   sync.Mutex
	list []handled
	// seen is when a searcher of each service first ran a request sent to the machine, by the
	// number of the version that moved the route there.
	seen map[int]time.Time
}

// handled is a request and the version by which it was run.
type handled struct {
	answer  answer
	version int
	by      string
}

// sendFor sends requests at a steady rate.
func (w *served) sendFor(span time.Duration) {
	for end := time.Now().Add(span); time.Now().Before(end); time.Sleep(min(betweenRequests, max(time.Until(end), 0))) {
		w.sent++
		number := w.sent
		w.all.Go(func() { w.one(number) })
	}
}

func (w *served) one(number int) {
	a := w.client.send(w.node, fmt.Sprintf("/fetch/%d", number), 4*time.Second)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, r := range w.system.runs.of(a.id) {
		version := slices.Index(w.services, r.service)
		w.list = append(w.list, handled{answer: a, version: version, by: r.searcher})
		if first, ok := w.seen[version]; !ok || r.at.Before(first) {
			w.seen[version] = r.at
		}
	}
}

// regressed counts the requests that were sent more than downgrade_ms after a searcher saw the
// effect of a version, and that only an older version allows.
func (w *served) regressed() int {
	count := 0
	for _, h := range w.list {
		for version := h.version + 1; version < len(w.services); version++ {
			since, ok := w.seen[version]
			if !ok || h.answer.sent.Sub(since) <= downgrade {
				continue
			}
			count++
			w.client.rec.write("handled as an older version", fields{
				"request": h.answer.id, "machine": w.node.name, "status": h.answer.status, "run_by": h.by,
				"newer_service": w.services[version], "seen_before_sent_ms": h.answer.sent.Sub(since).Milliseconds(),
			})
			break
		}
	}
	return count
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
