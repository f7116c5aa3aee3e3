package main

import (
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	addr string

	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
	delay    time.Duration
}

// usualAnswer is the time that the store usually takes for an answer.
const usualAnswer = 4 * time.Millisecond

// setDelay sets the time that the store takes for an answer.
func (s *store) setDelay(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = d
}

func newStore(addr string) *store {
	s := &store{addr: addr, revision: 100, items: map[string]item{}, changed: make(chan struct{}), delay: usualAnswer}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	go serveHTTP(addr, mux)
	return s
}

func serveHTTP(addr string, h http.Handler) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		cannotRun("listen on %s: %v", addr, err)
	}
	_ = (&http.Server{Handler: h}).Serve(l)
}

// put writes an entry. Its return is the store's acknowledgement.
func (s *store) put(key string, value any) time.Time {
	raw, err := json.Marshal(value)
	if err != nil {
		cannotRun("encode: %v", err)
	}
	return s.write(item{Key: key, Value: raw})
}

// remove removes an entry.
func (s *store) remove(key string) time.Time { return s.write(item{Key: key, Deleted: true}) }

func (s *store) write(i item) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	i.Revision = s.revision
	i.Created = s.revision
	if old, ok := s.items[i.Key]; ok {
		i.Created = old.Created
	}
	if i.Deleted {
		i.Created = 0
		delete(s.items, i.Key)
	} else {
		s.items[i.Key] = i
	}
	s.history = append(s.history, i)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	current := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > 400
	if more {
		list = list[:400]
	}
	s.reply(w, map[string]any{"items": list, "has_more": more, "current_rev": current})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, i := range s.history {
			if i.Revision > after && strings.HasPrefix(i.Key, q.Get("prefix")) {
				events = append(events, i)
			}
		}
		current, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			s.reply(w, map[string]any{"events": events, "current_rev": current})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			s.reply(w, map[string]any{"events": events, "current_rev": current})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) reply(w http.ResponseWriter, v any) {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
