package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

func init() { plays["crash"] = playCrash }

const (
	crashPath = "/snap-fetch/crashing"
	// backAfter is how long a searcher that crashed is down.
	backAfter = 3 * time.Second
	// contact is contact_ms.
	contact = 4 * time.Second
)

// crasher is a searcher that ends when it begins to run the crashing request, and comes back under
// a new id.
type crasher struct {
	lab   *lab
	name  string
	zone  string
	addr  string
	mu    sync.Mutex
	start int
	on    func(id string)
}

func (c *crasher) run() {
	c.start++
	ctx, end := context.WithCancel(context.Background())
	s := &searcher{
		lab: c.lab, id: fmt.Sprintf("%s-%d", c.name, c.start), service: "audit-archive", zone: c.zone, addr: c.addr, slots: 3, queue: 12,
		work: func() time.Duration { return 60 * time.Millisecond },
	}
	s.busy = make(chan struct{}, s.slots)
	s.state, s.born = "ready", time.Now().UnixMilli()
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		cannotRun("listen on %s: %v", s.addr, err)
	}
	server := &http.Server{IdleTimeout: 60 * time.Second}
	var once sync.Once
	server.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		expected := r.Header.Get("Expect-Instance")
		if r.URL.Path != crashPath || expected != "" && expected != s.id {
			s.ServeHTTP(w, r)
			return
		}
		once.Do(func() {
			c.lab.record("crash    %s of %s", r.Header.Get("Request-Id"), s.id)
			c.on(r.Header.Get("Request-Id"))
			end()
			go server.Close()
		})
		panic(http.ErrAbortHandler)
	})
	go func() { _ = server.Serve(l) }()
	s.register()
	go func() {
		ticker := time.NewTicker(heartbeat)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				time.Sleep(backAfter)
				c.lab.store.remove("servers/" + s.id)
				c.run()
				return
			case <-ticker.C:
				s.register()
			}
		}
	}()
}

// playCrash: a request that crashes searchers comes again and again, and all daemons are killed at
// once now and then.
func playCrash(l *lab) {
	const kills = 2
	var mu sync.Mutex
	crashes := 0
	var third time.Time
	reached := map[string]bool{}
	on := func(id string) {
		mu.Lock()
		defer mu.Unlock()
		reached[id] = true
		if crashes++; crashes == 3 {
			third = time.Now()
		}
	}
	for i := range 8 {
		c := &crasher{lab: l, name: fmt.Sprintf("i-7f3a91c%d", i), zone: "suva-a", addr: l.addr(), on: on}
		c.run()
	}
	l.store.put("op/config", config(7, map[string]int{"audit-archive": 100}, route("snap-fetch", "safe", 4000, 250, 2, "audit-archive")))
	for i, zone := range []string{"suva-a", "suva-a", "suva-b", "suva-b", "nadi-a", "nadi-a", "lautoka-a"} {
		l.newNode("front-"+zone+"-"+string(rune('1'+i%2)), zone)
	}
	for _, n := range l.nodes {
		n.start(true)
	}
	l.awaitReady()
	turn, counted := 0, 0
	// submit sends the crashing request some times, to one machine after the other, and other
	// requests beside it. All machines are in touch.
	submit := func(times int) {
		for range times {
			turn++
			n := l.nodes[turn%len(l.nodes)]
			sent := time.Now()
			a := l.send(n, "GET", crashPath, 4*time.Second, nil)
			mu.Lock()
			counts := reached[a.id] && !third.IsZero() && sent.Sub(third) > contact
			mu.Unlock()
			if counts {
				counted++
				l.record("counted  %s, sent %.1f s after the third crash", a.id, sent.Sub(third).Seconds())
			}
			for end := sent.Add(4 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
				turn++
				go l.send(l.nodes[turn%len(l.nodes)], "GET", "/snap-fetch/2f", 4*time.Second, nil)
			}
		}
	}
	submit(4)
	for range kills {
		if l.trouble {
			for _, n := range l.nodes {
				n.kill()
			}
			time.Sleep(600 * time.Millisecond)
			for _, n := range l.nodes {
				n.start(false)
			}
			l.awaitReady()
		}
		submit(4)
	}
	l.finish(counted > 3, "%d submissions reached searchers through machines in touch later than contact_ms after the third crash (3 are allowed); %d searchers crashed", counted, crashes)
}
