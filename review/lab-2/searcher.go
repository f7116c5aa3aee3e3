package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeat is the interval at which a searcher rewrites its entry.
const heartbeat = 1200 * time.Millisecond

// searcher is a stand-in of a back end, as PROTOCOL.md describes one.
type searcher struct {
	lab     *lab
	id      string
	service string
	zone    string
	addr    string
	slots   int
	queue   int
	// work is the time that a request takes.
	work func() time.Duration
	// serve replaces the usual answer if it is set.
	serve func(w http.ResponseWriter, r *http.Request, id string)
	// arrived is called with each request that reaches the searcher and is not for another one.
	arrived func(s *searcher, id string, at time.Time)

	mu       sync.Mutex
	state    string
	sequence int
	born     int64
	waiting  int
	busy     chan struct{}
	stamps   atomic.Int64
	server   *http.Server
	listener net.Listener
}

// start opens the searcher's listener and registers it.
func (s *searcher) start() {
	s.busy = make(chan struct{}, s.slots)
	s.state = "ready"
	s.born = time.Now().UnixMilli()
	l, err := net.Listen("tcp", s.addr)
	if err != nil {
		cannotRun("listen on %s: %v", s.addr, err)
	}
	s.listener = l
	s.server = &http.Server{Handler: s, IdleTimeout: 60 * time.Second}
	go func() { _ = s.server.Serve(l) }()
	s.register()
	go func() {
		for range time.Tick(heartbeat) {
			s.register()
		}
	}()
}

// register writes the searcher's entry and returns when the store acknowledged it.
func (s *searcher) register() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return s.lab.store.put("servers/"+s.id, map[string]any{
		"service": s.service, "address": s.addr, "zone": s.zone, "version": "v1", "concurrency": s.slots,
		"state": s.state, "warmup_left_ms": 0, "sequence": s.sequence, "born": s.born,
	})
}

// drain reports that the searcher is leaving and returns when the store acknowledged it.
func (s *searcher) drain() time.Time {
	s.mu.Lock()
	s.state = "draining"
	s.mu.Unlock()
	return s.register()
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := time.Now()
	id := r.Header.Get("Request-Id")
	if r.URL.Path == "/health" {
		w.Header().Set("Instance-Id", s.id)
		return
	}
	w.Header().Set("Request-Id", id)
	w.Header().Set("Keep-Alive", "timeout=60")
	if expect := r.Header.Get("Expect-Instance"); expect != "" && expect != s.id {
		w.Header().Set("Instance-Id", s.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if _, err := io.ReadAll(r.Body); err != nil {
		return
	}
	if s.arrived != nil {
		s.arrived(s, id, at)
	}
	if s.serve != nil {
		s.serve(w, r, id)
		return
	}
	if !s.acquire(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.busy }()
	s.lab.record("run      %s on %s", id, s.id)
	select {
	case <-time.After(s.work()):
	case <-r.Context().Done():
		return
	}
	s.answer(w, fmt.Sprintf("answer of %s to %s\n", s.id, id))
}

// acquire waits for a slot, and reports false if the searcher is full or the caller has left.
func (s *searcher) acquire(r *http.Request) bool {
	select {
	case s.busy <- struct{}{}:
		return true
	default:
	}
	s.mu.Lock()
	if s.waiting >= s.queue {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.waiting--
		s.mu.Unlock()
	}()
	select {
	case s.busy <- struct{}{}:
		return true
	case <-r.Context().Done():
		return false
	}
}

// answer writes a signed success.
func (s *searcher) answer(w http.ResponseWriter, body string) {
	w.Header().Set("Response-Stamp", s.stamp())
	_, _ = io.WriteString(w, body)
}

// stamp returns a new signature.
func (s *searcher) stamp() string { return fmt.Sprintf("%s.%x", s.id, s.stamps.Add(1)) }
