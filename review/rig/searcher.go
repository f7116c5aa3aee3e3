package main

import (
	"bufio"
	"fmt"
	"hash/maphash"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one request that a searcher began to work on.
type run struct {
	at       time.Time
	service  string
	searcher string
	id       string
	path     string
}

// runs collects what all searchers ran.
type runs struct {
	mu   sync.Mutex
	list []run
}

func (r *runs) add(x run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.list = append(r.list, x)
}

// of returns the runs of one request.
func (r *runs) of(id string) []run {
	r.mu.Lock()
	defer r.mu.Unlock()
	var found []run
	for _, x := range r.list {
		if x.id == id {
			found = append(found, x)
		}
	}
	return found
}

// searcherOptions are what the searchers of one service have in common.
type searcherOptions struct {
	service string
	zone    string
	slots   int
	work    time.Duration
	// records is set if the answers are parts of gathered ones.
	records bool
	// crashesOn is the path whose requests crash a searcher; empty for none. It is back
	// after downFor, with a new id.
	crashesOn string
	downFor   time.Duration
}

// searcher is a stand-in of one searcher process. After a crash it starts again at another
// address with a new id.
type searcher struct {
	opts  searcherOptions
	rec   *record
	store *store
	runs  *runs
	name  string

	mu       sync.Mutex
	starts   int
	id       string
	listener net.Listener
	conns    map[net.Conn]bool
	slots    chan struct{}
	down     bool
}

// heartbeats is after how many missed heartbeats an entry is removed.
const (
	heartbeat  = 1200 * time.Millisecond
	heartbeats = 3
)

func startSearcher(name string, opts searcherOptions, rec *record, st *store, rs *runs) (*searcher, error) {
	s := &searcher{opts: opts, rec: rec, store: st, runs: rs, name: name}
	return s, s.start()
}

func (s *searcher) start() error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.mu.Lock()
	s.starts++
	s.id = fmt.Sprintf("i-%s-%d", s.name, s.starts)
	s.listener, s.conns, s.down = l, map[net.Conn]bool{}, false
	s.slots = make(chan struct{}, s.opts.slots)
	id := s.id
	s.mu.Unlock()
	s.store.put("servers/"+id, map[string]any{
		"service": s.opts.service, "address": l.Addr().String(), "zone": s.opts.zone, "version": "v1",
		"concurrency": s.opts.slots, "state": "ready", "warmup_left_ms": 0, "sequence": 1, "born": time.Now().UnixMilli(),
	})
	s.rec.write("searcher started", fields{"searcher": id, "service": s.opts.service, "address": l.Addr().String()})
	go s.accept(l, id)
	return nil
}

func (s *searcher) accept(l net.Listener, id string) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			reset(c)
			continue
		}
		s.conns[c] = true
		slots := s.slots
		s.mu.Unlock()
		go s.serve(c, id, slots)
	}
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// crash ends the process of the searcher: its connections are reset and new ones refused.
func (s *searcher) crash(id string) {
	s.mu.Lock()
	if s.down || s.id != id {
		s.mu.Unlock()
		return
	}
	s.down = true
	_ = s.listener.Close()
	for c := range s.conns {
		reset(c)
	}
	s.mu.Unlock()
	s.rec.write("searcher crashed", fields{"searcher": id, "service": s.opts.service})
	time.AfterFunc(heartbeats*heartbeat, func() { s.store.remove("servers/" + id) })
	time.AfterFunc(s.opts.downFor, func() { _ = s.start() })
}

// serve answers one request after the other on a connection.
func (s *searcher) serve(c net.Conn, id string, slots chan struct{}) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, c)
		s.mu.Unlock()
		_ = c.Close()
	}()
	from := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(from)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if !s.answer(c, r, id, slots) {
			return
		}
	}
}

// answer serves one request and reports whether the connection is still open.
func (s *searcher) answer(c net.Conn, r *http.Request, id string, slots chan struct{}) bool {
	requestID := r.Header.Get("Request-Id")
	if want := r.Header.Get("Expect-Instance"); want != "" && want != id {
		return write(c, 421, requestID, "Not-Executed: 1\r\n", "")
	}
	if r.URL.Path == "/health" {
		return write(c, 200, requestID, "Instance-Id: "+id+"\r\n", "")
	}
	deadline, _ := strconv.Atoi(r.Header.Get("Deadline-Ms"))
	timer := time.NewTimer(time.Duration(deadline) * time.Millisecond)
	defer timer.Stop()
	select {
	case slots <- struct{}{}:
		defer func() { <-slots }()
	case <-timer.C:
		return write(c, 503, requestID, "Not-Executed: 1\r\n", "")
	}
	s.runs.add(run{at: time.Now(), service: s.opts.service, searcher: id, id: requestID, path: r.URL.Path})
	s.rec.write("run", fields{"searcher": id, "service": s.opts.service, "request": requestID, "path": r.URL.Path})
	if s.opts.crashesOn != "" && r.URL.Path == s.opts.crashesOn {
		s.crash(id)
		return false
	}
	time.Sleep(s.opts.work)
	return write(c, 200, requestID, "Response-Stamp: "+id+"."+requestID+"\r\n", s.body(id, requestID))
}

// body returns an answer's body: three records of 16 bytes, or a text.
func (s *searcher) body(id, requestID string) string {
	if !s.opts.records {
		return "answer of " + s.opts.service
	}
	return fmt.Sprintf("%016x%016x%016x", maphash.String(recordSeed, id), maphash.String(recordSeed, requestID), maphash.String(recordSeed, id+requestID))
}

var recordSeed = maphash.MakeSeed()

func write(c net.Conn, status int, requestID, headers, body string) bool {
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nRequest-Id: %s\r\n%sContent-Length: %d\r\n\r\n%s",
		status, http.StatusText(status), requestID, headers, len(body), body)
	return err == nil
}
