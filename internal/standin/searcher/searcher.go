// Package searcher is a stand-in for targets of the users' platform: HTTP servers
// with an id, slots, a queue and injected faults, which count the runs of each
// request.
package searcher

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/swiftvane/swiftvane/platform"
)

// headerTimeout is how long a connection may carry no request. It exceeds the age up to which
// hosts take the end of an unused connection for a refusal.
const headerTimeout = time.Minute

// Fault is a fault that is injected into a request.
type Fault uint8

// The faults.
const (
	// None runs the request and answers it.
	None Fault = iota
	// Shed refuses the request without running it.
	Shed
	// FailRun runs the request and answers 500.
	FailRun
	// LoseAnswer runs the request and resets the connection without an answer.
	LoseAnswer
	// CutAnswer runs the request and closes the connection in the middle of the
	// answer.
	CutAnswer
	// CutHead runs the request and closes the connection in order within the head of the
	// answer, at a place that depends on the request's id.
	CutHead
	// TwoAnswers runs the request and sends its answer twice.
	TwoAnswers
	// NoLength answers without a Content-Length and ends the body by closing the
	// connection.
	NoLength
	// ResetNoLength answers like NoLength and resets the connection in the middle of the body.
	ResetNoLength
	// NoAnswer runs the request and keeps the connection open without an answer.
	NoAnswer
	// Noise runs the request and sends bytes that are no HTTP until the client closes
	// the connection.
	Noise
	// EndlessBody runs the request and sends a body in chunks without end.
	EndlessBody
	// EndlessHead, EndlessInterims, EndlessUnframed and EndlessTrailer run the request and send
	// a head, interim replies, a body without a length and a trailer without end.
	EndlessHead
	EndlessInterims
	EndlessUnframed
	EndlessTrailer
)

// Options configures one searcher.
type Options struct {
	ID      string
	Service string
	Slots   int
	// Queue plus Slots is the number of requests that may wait for a slot.
	Queue int
	// Work is the time that a request takes.
	Work time.Duration
	// WorkOf returns the time that a request takes by its id; nil means Work for all.
	WorkOf func(requestID string) time.Duration
	// Records is the number of records in an answer.
	Records int
	// Fault returns the fault for each request; nil means None for all.
	Fault func(requestID string) Fault
	// Crashes is called with each request that begins to run, and reports whether it has
	// crashed the searcher, which then answers nothing; nil for none.
	Crashes func(s *Searcher, requestID string) bool
	// Raw returns the bytes that the searcher with the given id sends in place of the answer to a
	// request that has run, and whether it closes the connection after them; nil, or no bytes, for
	// the answer itself.
	Raw func(id, requestID, signature string) (raw []byte, closes bool)
}

// Searcher is a running stand-in.
type Searcher struct {
	opts     Options
	listener net.Listener
	server   *http.Server
	slots    chan struct{}

	mu          sync.Mutex
	waiting     int
	paused      chan struct{}
	runs        map[string]int
	arrivals    map[string]int
	deadlines   map[string][]time.Time
	disconnects int
	conns       int
	// held counts the connections that are open after raw bytes.
	held int
	// sent counts the bytes of endless answers.
	sent    int64
	leaving bool
	// pausedUntil is the end of the time in which all requests are refused.
	pausedUntil time.Time
	// reportsLoad, othersWaiting and reportedWork are what answers state of the load.
	reportsLoad   bool
	othersWaiting int
	reportedWork  int
	// coldUntil is the end of the warm-up, coldArrivals are the requests during it.
	coldUntil    time.Time
	coldArrivals []time.Time
	// limit is what answers state as the rate limit, limitedArrivals are the requests since
	// limitedSince.
	limit           string
	limitedSince    time.Time
	limitedArrivals []time.Time
}

// Start starts a searcher that listens on addr; port 0 selects a free port.
func Start(addr string, opts Options) (*Searcher, error) {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return nil, err
	}
	s := &Searcher{
		opts: opts, listener: l, slots: make(chan struct{}, max(opts.Slots, 1)),
		runs: map[string]int{}, arrivals: map[string]int{}, deadlines: map[string][]time.Time{},
	}
	s.server = &http.Server{Handler: s, ReadHeaderTimeout: headerTimeout, ConnState: s.countConn}
	go func() { _ = s.server.Serve(l) }()
	return s, nil
}

// Addr returns the address that the searcher listens on.
func (s *Searcher) Addr() string { return s.listener.Addr().String() }

// Close stops the searcher and closes its connections, except those that the fault
// NoAnswer keeps open.
func (s *Searcher) Close() { _ = s.server.Close() }

// Pause blocks requests that start to run until the returned function is called.
func (s *Searcher) Pause() (resume func()) {
	resumed := make(chan struct{})
	s.mu.Lock()
	s.paused = resumed
	s.mu.Unlock()
	return func() {
		s.mu.Lock()
		s.paused = nil
		s.mu.Unlock()
		close(resumed)
	}
}

// Runs returns how often each request ran.
func (s *Searcher) Runs() map[string]int { return s.copyCounts(s.runs) }

// Arrivals returns how often each request arrived.
func (s *Searcher) Arrivals() map[string]int { return s.copyCounts(s.arrivals) }

// Conns returns the number of connections accepted so far.
func (s *Searcher) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.conns
}

// Disconnects returns the number of requests whose client disconnected while they
// ran.
func (s *Searcher) Disconnects() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.disconnects
}

func (s *Searcher) copyCounts(from map[string]int) map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	to := make(map[string]int, len(from))
	for id, n := range from {
		to[id] = n
	}
	return to
}

func (s *Searcher) countConn(_ net.Conn, state http.ConnState) {
	if state == http.StateNew {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.conns++
	}
}

// ServeHTTP implements http.Handler.
func (s *Searcher) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get(platform.HeaderRequestID)
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	s.increment(s.arrivals, id)
	s.noteDeadline(r)
	if expected := r.Header.Get(platform.HeaderExpectTarget); expected != "" && expected != s.opts.ID {
		w.Header().Set(platform.HeaderTarget, s.opts.ID)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	fault := None
	if s.opts.Fault != nil {
		fault = s.opts.Fault(id)
	}
	s.addLoad(w)
	s.noteCold(w)
	s.noteLimit(w)
	if s.refusing(w) || fault == Shed || !s.acquire(r) {
		w.Header().Set(platform.HeaderNotRun, "1")
		w.Header().Set(platform.HeaderRequestID, id)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer func() { <-s.slots }()
	s.increment(s.runs, id)
	if s.opts.Crashes != nil && s.opts.Crashes(s, id) {
		s.hijack(w, func(net.Conn, *bufio.ReadWriter) {})
		return
	}
	if !s.work(r, s.workOf(id)) {
		return
	}
	if raw, closes := s.rawAnswer(id); len(raw) > 0 {
		s.hijack(w, func(c net.Conn, _ *bufio.ReadWriter) { s.sendBytes(c, raw, closes) })
		return
	}
	s.answer(w, id, body, fault)
}

func (s *Searcher) increment(counts map[string]int, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts[id]++
}

// acquire takes a slot, and waits in the queue for it if there is room. It returns
// false if the queue is full, the deadline has passed or the client has
// disconnected.
func (s *Searcher) acquire(r *http.Request) bool {
	s.mu.Lock()
	if s.waiting >= s.opts.Queue+cap(s.slots) {
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
	ms, err := strconv.Atoi(r.Header.Get(platform.HeaderDeadline))
	if err != nil {
		ms = 1000
	}
	deadline := time.NewTimer(time.Duration(ms) * time.Millisecond)
	defer deadline.Stop()
	select {
	case s.slots <- struct{}{}:
		return true
	case <-deadline.C:
		return false
	case <-r.Context().Done():
		return false
	}
}

// workOf returns the time that a request takes.
func (s *Searcher) workOf(requestID string) time.Duration {
	if s.opts.WorkOf != nil {
		return s.opts.WorkOf(requestID)
	}
	return s.opts.Work
}

// work waits for the end of a pause and for the work time. It returns false if the
// client disconnected before.
func (s *Searcher) work(r *http.Request, takes time.Duration) bool {
	timer := time.NewTimer(takes)
	defer timer.Stop()
	s.mu.Lock()
	paused := s.paused
	s.mu.Unlock()
	if paused != nil {
		select {
		case <-paused:
		case <-r.Context().Done():
			s.countDisconnect()
			return false
		}
	}
	select {
	case <-timer.C:
		return true
	case <-r.Context().Done():
		s.countDisconnect()
		return false
	}
}

func (s *Searcher) countDisconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.disconnects++
}

// Reply returns the body of the searcher's answer to a request.
func (s *Searcher) Reply(id string, body []byte) []byte {
	return Records(s.opts.Service, id, body, s.opts.Records)
}

// Records returns n records of 16 bytes, derived from the request and the service.
// All searchers of a service return the same records.
func Records(service, id string, body []byte, n int) []byte {
	out := make([]byte, 0, 16*n)
	for i := range n {
		sum := sha256.Sum256(fmt.Appendf(nil, "%s/%s/%d/%x", service, id, i, body))
		out = append(out, sum[:16]...)
	}
	return out
}

// Signature returns the signature that a target of service puts on its answer to
// the request id.
func Signature(service, target, id string) string {
	sum := sha256.Sum256([]byte(service + "/" + target + "/" + id))
	return hex.EncodeToString(sum[:8]) + "." + service
}
