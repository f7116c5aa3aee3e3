// Package store is a stand-in for the metadata store of the users' platform. It has
// keys with revisions, paged ranges, watches, a history that can be compacted, eras,
// and injected faults.
package store

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

	"github.com/swiftvane/swiftvane/platform"
)

// pageItems is the maximum number of items in a page of a range.
const pageItems = 50

// Fault is a fault that is injected into all calls.
type Fault uint8

// The faults.
const (
	// None serves calls normally.
	None Fault = iota
	// Busy answers 503.
	Busy
	// TooMany answers 429.
	TooMany
	// Silent never answers.
	Silent
	// Garbled answers invalid JSON.
	Garbled
)

type item struct {
	Key      string `json:"key"`
	Value    string `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// Store is a running stand-in.
type Store struct {
	listener net.Listener
	server   *http.Server

	mu       sync.Mutex
	revision int64
	oldest   int64
	items    map[string]item
	history  []item
	// writes has all writes of the current state, also those dropped from history.
	writes  []item
	era     int64
	changed chan struct{}
	fault   Fault
	calls   int
}

// Start starts a store on a free loopback port.
func Start() (*Store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Store{listener: l, items: map[string]item{}, changed: make(chan struct{}), revision: 1, era: 1}
	mux := http.NewServeMux()
	mux.HandleFunc(platform.RangePath, s.withFault(s.serveRange))
	mux.HandleFunc(platform.WatchPath, s.withFault(s.serveWatch))
	s.server = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the address that the store listens on.
func (s *Store) Addr() string { return s.listener.Addr().String() }

// Close stops the store and closes its connections.
func (s *Store) Close() { _ = s.server.Close() }

// Put writes a key and returns its revision.
func (s *Store) Put(key string, value []byte) int64 {
	return s.write(item{Key: key, Value: base64.StdEncoding.EncodeToString(value)})
}

// Delete removes a key and returns the revision of the removal.
func (s *Store) Delete(key string) int64 { return s.write(item{Key: key, Deleted: true}) }

func (s *Store) write(it item) int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	s.writes = append(s.writes, it)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.revision
}

// Compact drops the history. Watches that start at an older revision fail.
func (s *Store) Compact() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.oldest = s.revision
	s.history = nil
}

// Revision returns the current revision.
func (s *Store) Revision() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.revision
}

// Restore brings the store back from a copy that was made at the revision: later
// writes are gone, their revisions are given out again and the era rises by one.
func (s *Store) Restore(revision int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	kept := s.writes[:0]
	s.items = map[string]item{}
	for _, it := range s.writes {
		if it.Revision > revision {
			break
		}
		kept = append(kept, it)
		if it.Deleted {
			delete(s.items, it.Key)
		} else {
			s.items[it.Key] = it
		}
	}
	s.writes = kept
	s.history = append([]item(nil), kept...)
	s.revision, s.oldest = revision, 0
	s.era++
	close(s.changed)
	s.changed = make(chan struct{})
}

// SetFault sets the fault of new calls. Watches in progress fail unless f is None.
func (s *Store) SetFault(f Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	close(s.changed)
	s.changed = make(chan struct{})
}

// Calls returns the number of calls so far.
func (s *Store) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

func (s *Store) withFault(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		fault, era := s.fault, s.era
		s.mu.Unlock()
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(era, 10))
		switch fault {
		case Busy:
			w.WriteHeader(http.StatusServiceUnavailable)
		case TooMany:
			w.WriteHeader(http.StatusTooManyRequests)
		case Silent:
			<-r.Context().Done()
		case Garbled:
			_, _ = w.Write([]byte("{not json"))
		default:
			next(w, r)
		}
	}
}

func (s *Store) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	more := len(keys) > pageItems
	if more {
		keys = keys[:pageItems]
	}
	items := make([]item, len(keys))
	for i, key := range keys {
		items[i] = s.items[key]
	}
	writeJSON(w, map[string]any{"items": items, "has_more": more, "current_rev": s.revision})
}

func (s *Store) serveWatch(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	after, _ := strconv.ParseInt(query.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(query.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		unavailable := after < s.oldest || after > s.revision
		w.Header().Set(platform.HeaderEra, strconv.FormatInt(s.era, 10))
		events := s.eventsAfter(query.Get("prefix"), after)
		revision, changed, fault := s.revision, s.changed, s.fault
		s.mu.Unlock()
		switch {
		case fault != None:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		case unavailable:
			w.WriteHeader(http.StatusGone)
			return
		case len(events) > 0:
			writeJSON(w, map[string]any{"events": events, "current_rev": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, map[string]any{"events": []item{}, "current_rev": revision})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Store) eventsAfter(prefix string, after int64) []item {
	var events []item
	for _, it := range s.history {
		if it.Revision > after && strings.HasPrefix(it.Key, prefix) {
			events = append(events, it)
		}
	}
	return events
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(value)
}
