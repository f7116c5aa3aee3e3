package main

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"math"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// searcher is a stand-in of one back end.
type searcher struct {
	id, service, addr string
	slots, queue      int
	work              time.Duration
	rec               *record
	born              int64

	server *http.Server
	slot   chan struct{}

	mu   sync.Mutex
	slow float64
	// spread is the standard deviation of the work as a share of its mean.
	spread  float64
	waiting int
	leaving bool
	seen    []arrival
}

// maxWork bounds the work of one request as a share of the mean.
const maxWork = 6

// arrival is one request that reached a searcher.
type arrival struct {
	id  string
	at  time.Time
	ran bool
}

func startSearcher(rec *record, service, id string, slots, queue int, work time.Duration) (*searcher, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &searcher{
		id: id, service: service, addr: l.Addr().String(), slots: slots, queue: queue, work: work, rec: rec,
		slot: make(chan struct{}, slots), slow: 1, born: time.Now().UnixMilli(),
	}
	s.server = &http.Server{Handler: s}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// entry is what the searcher writes in the store.
func (s *searcher) entry(state string) map[string]any {
	return map[string]any{
		"service": s.service, "address": s.addr, "zone": zone, "version": "1", "concurrency": s.slots,
		"state": state, "warmup_left_ms": 0, "sequence": 1, "born": s.born,
	}
}

func (s *searcher) setSlow(x float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.slow = x
}

func (s *searcher) setLeaving() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.leaving = true
}

// stop ends the searcher as a crash or an exit does: all connections end.
func (s *searcher) stop() { _ = s.server.Close() }

func (s *searcher) arrivals() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.seen...)
}

func (s *searcher) note(id string, ran bool) {
	s.mu.Lock()
	s.seen = append(s.seen, arrival{id: id, at: time.Now(), ran: ran})
	s.mu.Unlock()
	what := "arrived"
	if ran {
		what = "runs"
	}
	s.rec.line("searcher %s: %s %s", s.id, id, what)
}

// ServeHTTP implements http.Handler.
func (s *searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	id := r.Header.Get("Request-Id")
	h.Set("Instance-Id", s.id)
	h.Set("Keep-Alive", "timeout=20")
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.mu.Lock()
	leaving := s.leaving
	s.mu.Unlock()
	if leaving {
		h.Set("Connection", "close")
	}
	if r.URL.Path == "/health" {
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	if id == "" {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	h.Set("Request-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != s.id {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.note(id, false)
	ms, err := strconv.ParseFloat(r.Header.Get("Deadline-Ms"), 64)
	if err != nil {
		ms = math.MaxInt32
	}
	deadline := time.NewTimer(time.Duration(ms * float64(time.Millisecond)))
	defer deadline.Stop()
	if !s.acquire(r, deadline) {
		h.Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slot }()
	s.note(id, true)
	h.Set("Response-Stamp", stamp(s.id, id))
	s.mu.Lock()
	work := time.NewTimer(time.Duration(s.slow * s.factor() * float64(s.work)))
	s.mu.Unlock()
	defer work.Stop()
	select {
	case <-work.C:
	case <-deadline.C:
		w.WriteHeader(http.StatusGatewayTimeout)
		return
	case <-r.Context().Done():
		return
	}
	answer := bodyOf(s.service, id, body)
	h.Set("Content-Length", strconv.Itoa(len(answer)))
	_, _ = w.Write(answer)
}

// acquire takes a slot, or reports false if the queue is full or the request has ended.
func (s *searcher) acquire(r *http.Request, deadline *time.Timer) bool {
	s.mu.Lock()
	if s.waiting >= s.queue+s.slots {
		s.mu.Unlock()
		return false
	}
	s.waiting++
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.waiting--
	}()
	select {
	case s.slot <- struct{}{}:
		return true
	case <-deadline.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

func stamp(searcher, id string) string {
	sum := sha256.Sum256([]byte(searcher + "/" + id))
	return hex.EncodeToString(sum[:8])
}

// bodyOf is the body of each searcher of a service for a request.
func bodyOf(service, id string, body []byte) []byte {
	return bytes.Repeat(fmt.Appendf(nil, "%s %s %x\n", service, id, sha256.Sum256(body)), 8)
}

// factor returns the work of one request as a share of the mean. The caller holds the lock.
func (s *searcher) factor() float64 {
	if s.spread == 0 {
		return 1
	}
	variance := math.Log(1 + s.spread*s.spread)
	return min(math.Exp(rand.NormFloat64()*math.Sqrt(variance)-variance/2), maxWork)
}
