package main

import (
	"bytes"
	"encoding/base64"
	"encoding/json"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the store as the platform's pages describe it.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	addr string

	mu      sync.Mutex
	rev     int64
	items   map[string]item
	history []item
	changed chan struct{}
}

func startStore() (*store, error) {
	s := &store{rev: 1, items: map[string]item{}, changed: make(chan struct{})}
	v, err := s.view(nil)
	if err != nil {
		return nil, err
	}
	s.addr = v.addr
	return s, nil
}

// storeView is the store as one machine reaches it.
type storeView struct {
	*store
	addr string
	// addrs has the addresses by which the machine reaches searchers through proxies.
	addrs map[string]string
}

// view starts a listener for one machine. addrs replaces addresses of searchers.
func (s *store) view(addrs map[string]string) (*storeView, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	v := &storeView{store: s, addr: l.Addr().String(), addrs: addrs}
	mux := http.NewServeMux()
	mux.HandleFunc("/kv-range", v.serveRange)
	mux.HandleFunc("/kv-watch", v.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return v, nil
}

// seen returns an item as the machine sees it.
func (v *storeView) seen(it item) item {
	raw, err := base64.StdEncoding.DecodeString(it.Value)
	if err != nil || len(v.addrs) == 0 {
		return it
	}
	for from, to := range v.addrs {
		raw = bytes.ReplaceAll(raw, []byte(strconv.Quote(from)), []byte(strconv.Quote(to)))
	}
	it.Value = base64.StdEncoding.EncodeToString(raw)
	return it
}

// put writes a value; nil removes the key. It returns when the store has acknowledged it.
func (s *store) put(key string, value any) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rev++
	it := item{Key: key, Revision: s.rev, Created: s.rev}
	if value == nil {
		it.Deleted = true
		delete(s.items, key)
	} else {
		raw, err := json.Marshal(value)
		if err != nil {
			panic(err)
		}
		it.Value = base64.StdEncoding.EncodeToString(raw)
		if old, known := s.items[key]; known {
			it.Created = old.Created
		}
		s.items[key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return time.Now()
}

func (s *storeView) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	found := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, s.seen(it))
		}
	}
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	writeJSON(w, map[string]any{"items": found, "has_more": false, "current_rev": s.rev})
}

func (s *storeView) serveWatch(w http.ResponseWriter, r *http.Request) {
	prefix := r.URL.Query().Get("prefix")
	after, _ := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	ms, _ := strconv.Atoi(r.URL.Query().Get("wait_ms"))
	end := time.After(time.Duration(min(ms, 30000)) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
				events = append(events, s.seen(it))
			}
		}
		rev, changed := s.rev, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		}
		select {
		case <-changed:
		case <-end:
			writeJSON(w, map[string]any{"events": events, "current_rev": rev})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
