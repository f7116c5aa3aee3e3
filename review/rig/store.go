package main

import (
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

// item is an entry of the store, or its removal.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// store is a stand-in of the platform's metadata store, with linearizable reads and a
// complete history.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	changed  chan struct{}
}

func newStore() *store {
	return &store{revision: 1, items: map[string]item{}, changed: make(chan struct{})}
}

// put writes an entry whose value is encoded as JSON.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it := item{Key: key, Value: base64.StdEncoding.EncodeToString(raw), Revision: s.revision, Created: s.revision}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.publish(it)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.publish(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) publish(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// storeDoor is the store as one machine of the system reaches it.
type storeDoor struct {
	store *store
	addr  string
	// rewrite returns the entry as this machine sees it; nil for no change.
	rewrite func(item) item

	mu sync.Mutex
	// turnedAway is set while the store answers 503 to this machine.
	turnedAway bool
}

// openDoor serves the store on a free port of the address.
func (s *store) openDoor(ip string, rewrite func(item) item) (*storeDoor, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &storeDoor{store: s, addr: l.Addr().String(), rewrite: rewrite}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-range", d.serveRange)
	mux.HandleFunc("GET /kv-watch", d.serveWatch)
	go func() { _ = http.Serve(l, mux) }()
	return d, nil
}

// turnAway makes the store refuse this machine's calls, or serve them again.
func (d *storeDoor) turnAway(on bool) {
	d.mu.Lock()
	d.turnedAway = on
	d.mu.Unlock()
	d.store.mu.Lock()
	defer d.store.mu.Unlock()
	// Wakes the watches that are waiting.
	close(d.store.changed)
	d.store.changed = make(chan struct{})
}

func (d *storeDoor) refuses(w http.ResponseWriter) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.turnedAway {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	return d.turnedAway
}

func (d *storeDoor) seen(it item) item {
	if d.rewrite == nil {
		return it
	}
	return d.rewrite(it)
}

const pageItems = 500

func (d *storeDoor) serveRange(w http.ResponseWriter, r *http.Request) {
	if d.refuses(w) {
		return
	}
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	d.store.mu.Lock()
	found := []item{}
	for key, it := range d.store.items {
		if strings.HasPrefix(key, prefix) && key > after {
			found = append(found, d.seen(it))
		}
	}
	revision := d.store.revision
	d.store.mu.Unlock()
	sort.Slice(found, func(i, j int) bool { return found[i].Key < found[j].Key })
	more := len(found) > pageItems
	found = found[:min(len(found), pageItems)]
	reply(w, map[string]any{"items": found, "has_more": more, "current_rev": revision})
}

func (d *storeDoor) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(query.Get("wait_ms"))
	deadline := time.After(time.Duration(wait) * time.Millisecond)
	for expired := false; ; {
		if d.refuses(w) {
			return
		}
		d.store.mu.Lock()
		events := []item{}
		for _, it := range d.store.history {
			if it.Revision > after && strings.HasPrefix(it.Key, query.Get("prefix")) {
				events = append(events, d.seen(it))
			}
		}
		revision, changed := d.store.revision, d.store.changed
		d.store.mu.Unlock()
		if len(events) > 0 || expired {
			reply(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline:
			expired = true
		case <-r.Context().Done():
			return
		}
	}
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Store-Era", "1")
	_ = json.NewEncoder(w).Encode(body)
}
