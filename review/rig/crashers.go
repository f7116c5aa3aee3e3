package main

import (
	"fmt"
	"time"
)

const (
	// badPath is the path of the request that crashes the searchers that run it.
	badPath = "/fetch/bad"
	// toleratedRetries is how many retries may reach searchers later than contact_ms after
	// the third crash.
	toleratedRetries = 3
	// badInterval is the time between two submissions of that request.
	badInterval = 2 * time.Second
	// rollGap is the pause between two machines that are stopped and started in turn.
	rollGap = 2 * time.Second
)

// crashers plays a request that crashes searchers and comes again, while all machines are
// stopped and started in turn. It reports whether the rule was broken.
func crashers(rec *record, trouble bool) (bool, error) {
	s, err := newSystem(rec, []string{"zone-a", "zone-a", "zone-b", "zone-b", "zone-b", "zone-c"}, nil)
	if err != nil {
		return false, err
	}
	defer s.end()
	zones := []string{"zone-a", "zone-b", "zone-c"}
	for i := range 15 {
		opts := searcherOptions{service: "portal", zone: zones[i%3], slots: 2, work: 20 * time.Millisecond, crashesOn: badPath, downFor: 3 * time.Second}
		if _, err := startSearcher(fmt.Sprintf("portal-%d", i+1), opts, rec, s.store, s.runs); err != nil {
			return false, err
		}
	}
	s.configure([]route{{name: "fetch", prefix: "/fetch/", service: "portal", timeout: 4 * time.Second, objective: 600 * time.Millisecond}}, []string{"portal"})
	if err := s.start(); err != nil {
		return false, err
	}
	c := newClient(rec)
	stopLoad := s.load(c, "/fetch/")
	defer stopLoad()
	time.Sleep(contact + time.Second)
	rolled := make(chan error, 1)
	began := time.Now()
	go func() {
		time.Sleep(10 * time.Second)
		if !trouble {
			rolled <- nil
			return
		}
		rolled <- s.roll()
	}()
	b := &badRequests{system: s, client: c, path: badPath}
	for until := began.Add(82 * time.Second); time.Now().Before(until); time.Sleep(badInterval) {
		b.submit()
	}
	if err := <-rolled; err != nil {
		return false, err
	}
	rec.write("verdict", fields{"crashes": b.crashes, "submitted": b.submitted, "retries_reached_in_touch_after_contact": b.late, "tolerated": toleratedRetries})
	return b.late > toleratedRetries, nil
}

// roll stops and starts all machines in turn.
func (s *system) roll() error {
	for i := range s.nodes {
		if err := s.restart(i); err != nil {
			return err
		}
		time.Sleep(rollGap)
	}
	return nil
}

// load sends ordinary requests to ready machines until the returned function is called.
func (s *system) load(c *client, prefix string) (stop func()) {
	done := make(chan struct{})
	go func() {
		ticker := time.NewTicker(100 * time.Millisecond)
		defer ticker.Stop()
		for i := 0; ; i++ {
			select {
			case <-done:
				return
			case <-ticker.C:
			}
			if n := s.nodes[i%len(s.nodes)]; n.inTouch(500 * time.Millisecond) {
				go c.send(n, fmt.Sprintf("%s%d", prefix, i), 4*time.Second)
			}
		}
	}()
	return func() { close(done) }
}

// badRequests submits the request that crashes searchers and counts what becomes of it.
type badRequests struct {
	system *system
	client *client
	path   string
	// harmless is set if the request crashes nothing.
	harmless bool

	turn      int
	submitted int
	crashes   int
	// third is the time of the third crash.
	third time.Time
	// late counts the submissions that reached searchers, by machines in touch, later than
	// contact_ms after the third crash.
	late int
}

// submit sends the request to the next machine that is ready.
func (b *badRequests) submit() {
	n := b.next()
	if n == nil {
		return
	}
	inTouch := n.inTouch(contact)
	a := b.client.send(n, b.path, 4*time.Second)
	b.submitted++
	ran := b.system.runs.of(a.id)
	if b.harmless {
		ran = nil
	}
	counts := len(ran) > 0 && inTouch && b.crashes >= 3 && a.sent.Sub(b.third) > contact
	if counts {
		b.late++
	}
	for _, r := range ran {
		if b.crashes++; b.crashes == 3 {
			b.third = r.at
		}
	}
	b.client.rec.write("crashing request", fields{"request": a.id, "machine": n.name, "in_touch": inTouch, "status": a.status, "crashed": len(ran), "counts": counts})
}

// next returns the next machine that is ready, nil if none is.
func (b *badRequests) next() *node {
	nodes := b.system.nodes
	for range nodes {
		n := nodes[b.turn%len(nodes)]
		b.turn++
		if n.inTouch(500*time.Millisecond) && n.ready() {
			return n
		}
	}
	return nil
}
