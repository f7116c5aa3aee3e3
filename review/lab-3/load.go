package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"
)

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
