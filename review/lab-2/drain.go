package main

import (
	"sync"
	"time"
)

func init() { plays["drain"] = playDrain }

// playDrain: a searcher reports that it is leaving while calls for it wait in a daemon's queue.
func playDrain(l *lab) {
	const (
		drainBound = 3000 * time.Millisecond
		work       = 360 * time.Millisecond
		perSecond  = 21
		burst      = 2.5
	)
	var mu sync.Mutex
	acked := map[*searcher]time.Time{}
	late, latest := 0, time.Duration(0)
	arrived := func(s *searcher, id string, at time.Time) {
		mu.Lock()
		defer mu.Unlock()
		since, leaving := acked[s]
		if !leaving {
			l.record("reached  %s %s", s.id, id)
			return
		}
		after := at.Sub(since)
		l.record("reached  %s %s %d ms after the store acknowledged that it is leaving", s.id, id, after.Milliseconds())
		if after > drainBound {
			late++
			latest = max(latest, after)
		}
	}
	var searchers []*searcher
	for i, zone := range []string{"suva-a", "suva-b", "nadi-a", "lautoka-a"} {
		s := &searcher{
			lab: l, id: "i-7f3a91c" + string(rune('1'+i)), service: "audit-archive", zone: zone, addr: l.addr(), slots: 2, queue: 12,
			work: func() time.Duration { return work }, arrived: arrived,
		}
		s.start()
		searchers = append(searchers, s)
	}
	l.store.put("op/config", config(7, map[string]int{"audit-archive": 26}, route("snap-fetch", "unsafe", 4000, 250, 2, "audit-archive")))
	for i, zone := range []string{"suva-a", "suva-a", "suva-b", "suva-b", "nadi-a", "nadi-a", "lautoka-a"} {
		l.newNode("front-"+zone+"-"+string(rune('1'+i%2)), zone)
	}
	for _, n := range l.nodes {
		n.start(true)
	}
	l.awaitReady()
	entry := l.nodes[6]
	var pending sync.WaitGroup
	play := func(rate float64, lasts time.Duration) {
		for end := time.Now().Add(lasts); time.Now().Before(end); time.Sleep(time.Duration(float64(time.Second) / rate)) {
			pending.Go(func() { l.send(entry, "POST", "/snap-fetch/2f", 4*time.Second, []byte("form=FJ-112")) })
		}
	}
	play(perSecond, 10*time.Second)
	leaving := searchers[0]
	time.AfterFunc(6700*time.Millisecond, func() {
		mu.Lock()
		acked[leaving] = leaving.drain()
		mu.Unlock()
		l.record("leaving  %s, acknowledged by the store", leaving.id)
	})
	if l.trouble {
		l.record("burst    of %v times the traffic", burst)
		play(perSecond*burst, 6800*time.Millisecond)
	}
	play(perSecond, 12*time.Second)
	pending.Wait()
	mu.Lock()
	defer mu.Unlock()
	l.finish(late > 0, "%d requests reached a searcher later than %v after the store acknowledged that it is leaving, the last one %v after", late, drainBound, latest)
}
