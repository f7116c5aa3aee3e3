package main

import (
	"sync"
	"time"
)

func init() { plays["limits"] = playLimits }

// playLimits: clients keep connections that they opened while the daemons had no configuration yet,
// and later send requests within its limits on them.
func playLimits(l *lab) {
	const (
		maxHeader  = 32768
		clientsOf  = 8
		slowAnswer = 60 * 4 * time.Millisecond
	)
	for i, zone := range []string{"suva-a", "suva-b", "nadi-a", "lautoka-a"} {
		s := &searcher{
			lab: l, id: "i-7f3a91c" + string(rune('1'+i)), service: "audit-archive", zone: zone, addr: l.addr(), slots: 3, queue: 12,
			work: func() time.Duration { return 20 * time.Millisecond },
		}
		s.start()
	}
	c := config(7, map[string]int{"audit-archive": 100}, route("snap-fetch", "safe", 4000, 250, 2, "audit-archive"))
	c["limits"].(map[string]int)["max_header_bytes"] = maxHeader
	l.store.put("op/config", c)
	for i, zone := range []string{"suva-a", "suva-b", "nadi-a", "lautoka-a"} {
		l.newNode("front-"+zone+"-"+string(rune('1'+i%2)), zone)
	}
	for _, n := range l.nodes {
		n.start(true)
	}
	l.awaitReady()
	if l.trouble {
		l.store.setDelay(slowAnswer)
		l.record("slow     the store's answers take %v", slowAnswer)
		for _, n := range l.nodes {
			n.kill()
		}
		time.Sleep(600 * time.Millisecond)
		for _, n := range l.nodes {
			n.start(false)
		}
	}
	var mu sync.Mutex
	var pending sync.WaitGroup
	denied, total := 0, 0
	count := func(a answer) {
		mu.Lock()
		defer mu.Unlock()
		total++
		if a.status >= 300 && a.status < 500 && a.status != 408 && a.status != 421 && a.status != 429 {
			denied++
		}
	}
	for _, n := range l.nodes {
		for range clientsOf {
			pending.Go(func() {
				var client *rawClient
				for end := time.Now().Add(3 * time.Second); client == nil && time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					client = l.dialRaw(n)
				}
				if client == nil {
					return
				}
				// The client's usual requests keep the connection in use; it waits where it is told to.
				for end := time.Now().Add(13 * time.Second); time.Now().Before(end); time.Sleep(time.Second) {
					a := client.send("GET", "/snap-fetch/2f", 4*time.Second, "", "")
					count(a)
					if a.err != nil {
						return
					}
				}
				count(client.send("GET", "/snap-fetch/2f", 4*time.Second, filler(20_000), ""))
			})
		}
	}
	time.Sleep(5400 * time.Millisecond)
	l.store.setDelay(usualAnswer)
	l.record("usual    the store's answers take %v", usualAnswer)
	pending.Wait()
	bound := 5 + total/500
	l.finish(denied > bound, "%d of %d requests that the configuration allows were ended with a 4xx of the daemon's own (bound %d)", denied, total, bound)
}
