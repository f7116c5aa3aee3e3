package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

// The queue case has the figures of the deployment dtcx-swiftvane: the service audit-trail and
// the requests lc-fetch, whose route the configuration sends there.
const (
	queueService   = "audit-trail"
	queueHost      = "pupu76.example"
	queueSearchers = 3
	queueSlots     = 4
	queueConns     = 110
	queueWork      = 120 * time.Millisecond
	queueRate      = 22.5
	queueDeadline  = 5 * time.Second
	queueDrain     = 3 * time.Second
	// queueSlowBy and queueSlowFor are the largest srv_slow of the site, queueSlowBefore is how
	// long the searchers are slow when one of them starts to leave.
	queueSlowBy     = 12
	queueSlowFor    = 8 * time.Second
	queueSlowBefore = 4500 * time.Millisecond
	queueMachines   = 2
)

// queueCase: the searchers of a service turn slow, and one of them reports that it is draining
// while requests wait for it in the machines.
func queueCase(rec *record, dir string, trouble bool) int {
	st, err := startStore()
	if err != nil {
		return cannot
	}
	var all []*searcher
	for i := range queueSearchers {
		s, err := startSearcher(rec, queueService, fmt.Sprintf("i-%d", i+1), queueSlots, 12, queueWork)
		if err != nil {
			return cannot
		}
		defer s.stop()
		all = append(all, s)
	}
	leaving := all[0]
	st.put("op/config", configOf(1, []any{map[string]any{"name": queueService, "max_conns": queueConns, "health_path": "/health"}}, map[string]any{
		"name": "lc-fetch", "host": queueHost, "prefix": "/lc/", "type": "unsafe", "timeout_ms": queueDeadline.Milliseconds(), "slo_ms": 500,
		"priority": 2, "attempts": 2, "service": queueService,
	}))
	for _, s := range all {
		st.put("servers/"+s.id, s.entry("ready"))
	}
	daemons := newDaemons(dir, queueMachines, smallBounds, func(int) string { return st.addr })
	defer killAll(daemons)
	if !startAll(rec, daemons) {
		return cannot
	}
	load := startLoad(rec, daemons, queueRate, func(c *clientConn, id string) result {
		return c.do("POST", queueHost, "/lc/x", id, []byte("letter"), queueDeadline)
	})
	time.Sleep(5 * time.Second)
	if trouble {
		rec.line("searchers turn slow: %d times", queueSlowBy)
		setSlow(all, queueSlowBy)
	}
	time.Sleep(queueSlowBefore)
	acked := st.put("servers/"+leaving.id, leaving.entry("draining"))
	leaving.setLeaving()
	rec.line("store: acknowledged that %s is draining", leaving.id)
	time.Sleep(queueSlowFor - queueSlowBefore)
	setSlow(all, 1)
	time.Sleep(2 * time.Second)
	load.stop()
	late := 0
	for _, a := range leaving.arrivals() {
		if after := a.at.Sub(acked); after > queueDrain && !a.ran {
			late++
			rec.line("LATE: %s reached %s %d ms after the acknowledgement", a.id, leaving.id, after.Milliseconds())
		}
	}
	rec.say("%d requests sent, %d served; %d reached the draining searcher later than drain_ms", load.sent.Load(), load.served.Load(), late)
	return verdictOf(late > 0, load)
}

func setSlow(all []*searcher, x float64) {
	for _, s := range all {
		s.setSlow(x)
	}
}

// load is a steady stream of requests, each on a new connection, to the machines in turn.
type load struct {
	sent, served atomic.Int64
	ended        chan struct{}
	clients      sync.WaitGroup
}

func startLoad(rec *record, daemons []*daemon, rate float64, send func(c *clientConn, id string) result) *load {
	l := &load{ended: make(chan struct{})}
	l.clients.Go(func() {
		ticker := time.NewTicker(time.Duration(float64(time.Second) / rate))
		defer ticker.Stop()
		for n := 0; ; n++ {
			select {
			case <-l.ended:
				return
			case <-ticker.C:
			}
			at := daemons[n%len(daemons)]
			l.clients.Go(func() { l.one(rec, at, send) })
		}
	})
	return l
}

func (l *load) one(rec *record, at *daemon, send func(c *clientConn, id string) result) {
	id := fmt.Sprintf("%016x", rand.Uint64())
	c, err := dialFront(at.front)
	if err != nil {
		rec.line("client: %s not sent to %s: %v", id, at.name, err)
		return
	}
	defer c.raw.Close()
	l.sent.Add(1)
	rec.line("client: %s sent to %s", id, at.name)
	r := send(c, id)
	rec.line("client: %s got %s", id, r.text())
	if r.status == 200 {
		l.served.Add(1)
	}
}

// stop ends the stream and waits for the answers.
func (l *load) stop() {
	close(l.ended)
	l.clients.Wait()
}

// verdictOf returns the exit code of a case whose rule was broken or not.
func verdictOf(wasBroken bool, l *load) int {
	switch {
	case wasBroken:
		return broken
	case l.served.Load() < 20:
		return cannot
	default:
		return held
	}
}

// configOf returns a configuration.
func configOf(version int, services []any, routes ...any) map[string]any {
	return map[string]any{
		"version": version, "routes": routes, "services": services,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
	}
}
