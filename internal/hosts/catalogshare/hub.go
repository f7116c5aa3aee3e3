package catalogshare

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// outboxMessages is the number of messages that wait for a slow follower; one
// more ends its link.
const outboxMessages = 64

// Hub serves a host's entries to the hosts that follow it.
type Hub struct {
	log logrus.FieldLogger
	// domain is the host's own failure domain.
	domain   string
	upgrader websocket.FastHTTPUpgrader

	mu        sync.Mutex
	entries   map[string]entry
	revision  int64
	asOf      time.Time
	followers map[*follower]bool
	// others has the number of hosts that each other reader stands for.
	others map[string]count
	guard  *crashguard.Guard
	// board has the samples of this host and its followers; onBad is told of the
	// targets that they, or those of an upstream, found bad.
	board targethealth.Aggregator
	onBad func(targets []string)
	// told is the number of hosts that the host's own upstream knows, toldDomains
	// the same by failure domain, toldSettled whether that one counts on it.
	told        int
	toldDomains map[string]int
	toldSettled bool
	settled     bool
}

type count struct {
	hosts   int
	domains map[string]int
	at      time.Time
}

// countFor is how long a count is used after it was last told.
const countFor = 10 * time.Second

type follower struct {
	out     chan []byte
	domain  string
	observe bool
}

// NewHub returns a hub without entries, of a host in a failure domain, whose
// notes go to guard.
func NewHub(domain string, guard *crashguard.Guard, log logrus.FieldLogger) *Hub {
	return &Hub{
		log: log, domain: domain, guard: guard, entries: map[string]entry{}, followers: map[*follower]bool{}, others: map[string]count{},
		upgrader: websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }},
	}
}

// OnBad sets what is told of targets that many hosts found bad. It is called
// before the hub runs; the function must not block.
func (h *Hub) OnBad(f func(targets []string)) { h.onBad = f }

// Serve accepts links until the listener is closed.
func (h *Hub) Serve(l net.Listener) error {
	server := &fasthttp.Server{Handler: h.handle, NoDefaultServerHeader: true, ReadTimeout: linkTimeout}
	return server.Serve(l)
}

// Run sends what keeps the links alive until ctx ends.
func (h *Hub) Run(ctx context.Context) {
	ticker := time.NewTicker(beatEvery)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			h.hear(h.pulse())
		}
	}
}

// pulse sends a beat with the targets that look bad and returns these.
func (h *Hub) pulse() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	bad := h.board.Unhealthy(time.Now())
	if len(h.followers) > 0 {
		m := h.beat()
		m.Bad = bad
		h.broadcast(m)
	}
	return bad
}

// hear passes on which targets many hosts found bad.
func (h *Hub) hear(bad []string) {
	if len(bad) > 0 && h.onBad != nil {
		h.onBad(bad)
	}
}

// collect takes what a host saw of targets.
func (h *Hub) collect(samples []targethealth.Sample) {
	if len(samples) == 0 {
		return
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.board.Add(time.Now(), samples)
}

// Publish takes a batch in and passes it on.
func (h *Hub) Publish(b catalogsync.Batch) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if b.Full {
		h.entries = make(map[string]entry, len(b.Changes))
	}
	m := h.beat()
	for i := range b.Changes {
		c := &b.Changes[i]
		e := entry{Key: c.Key, Value: c.Value, Revision: c.Revision, Deleted: c.Deleted}
		m.Entries = append(m.Entries, e)
		if c.Deleted {
			delete(h.entries, c.Key)
		} else {
			h.entries[c.Key] = e
		}
	}
	h.revision = max(h.revision, b.Revision)
	h.asOf = b.AsOf
	if len(h.followers) == 0 || len(m.Entries) == 0 && !b.Returned {
		return
	}
	m.Full, m.Returned, m.Revision = b.Full, b.Returned, h.revision
	m.AgeMS = time.Since(h.asOf).Milliseconds()
	h.broadcast(m)
}

// Note takes a note that came from elsewhere and, if it was new, passes it on to
// the followers.
func (h *Hub) Note(n crashguard.CrashReport) {
	if !h.guard.Add(n, time.Now()) {
		return
	}
	h.log.WithFields(logrus.Fields{"request": n.Request, "target": n.Target}).Warn("a target crashed while it had this request")
	h.mu.Lock()
	defer h.mu.Unlock()
	m := h.beat()
	m.Notes = []crashguard.CrashReport{n}
	h.broadcast(m)
}

func (h *Hub) noteAll(notes []crashguard.CrashReport) {
	for _, n := range notes {
		h.Note(n)
	}
}

// beat is a message without entries. The lock is held.
func (h *Hub) beat() *message {
	return &message{
		Revision: h.revision, AgeMS: time.Since(h.asOf).Milliseconds(), Settled: h.settled,
		Own: h.own(), OwnDomains: h.ownDomains(), Hosts: h.hosts(), Domains: h.domains(),
	}
}

// full is a message with all entries. The lock is held.
func (h *Hub) full() *message {
	m := h.beat()
	m.Full = true
	for _, e := range h.entries {
		m.Entries = append(m.Entries, e)
	}
	return m
}

// broadcast sends to all followers; a link that is behind ends. The lock is held.
func (h *Hub) broadcast(m *message) {
	raw, err := encode(m)
	if err != nil {
		h.log.WithError(err).Error("catalog message can't be encoded")
		return
	}
	for f := range h.followers {
		if f.observe && len(m.Entries) > 0 {
			continue
		}
		select {
		case f.out <- raw:
		default:
			h.remove(f)
		}
	}
}

func (h *Hub) remove(f *follower) {
	if h.followers[f] {
		delete(h.followers, f)
		close(f.out)
	}
}

func (h *Hub) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != sharePath {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	f := &follower{
		out: make(chan []byte, outboxMessages), observe: ctx.QueryArgs().Has(observeQuery),
		domain: string(ctx.QueryArgs().Peek(domainQuery)),
	}
	if err := h.upgrader.Upgrade(ctx, func(conn *websocket.Conn) { h.follow(conn, f) }); err != nil {
		h.log.WithError(err).Info("catalog link refused")
	}
}

// follow serves one link in its goroutine.
func (h *Hub) follow(conn *websocket.Conn, f *follower) {
	h.mu.Lock()
	if h.revision == 0 {
		// Nothing is known yet; the host asks another one.
		h.mu.Unlock()
		closeLink(conn, h.log)
		return
	}
	first := h.beat()
	if !f.observe {
		first = h.full()
	}
	h.followers[f] = true
	h.mu.Unlock()
	var reading sync.WaitGroup
	// The server gives the connection's buffers to others once this returns.
	defer reading.Wait()
	defer closeLink(conn, h.log)
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.remove(f)
	}()
	reading.Go(func() { h.takeNotes(conn) })
	raw, err := encode(first)
	if err != nil {
		h.log.WithError(err).Error("catalog message can't be encoded")
		return
	}
	for raw != nil && write(conn, raw) == nil {
		raw = <-f.out
	}
}

// takeNotes reads a follower's notes until the link ends and then closes it,
// which ends its writer.
func (h *Hub) takeNotes(conn *websocket.Conn) {
	defer closeLink(conn, h.log)
	for {
		_, raw, err := conn.ReadMessage()
		if err != nil {
			return
		}
		m, err := decode(raw)
		if err != nil {
			h.log.WithError(err).Warn("note of a follower is unreadable")
			return
		}
		h.noteAll(m.Notes)
		h.collect(m.Samples)
	}
}

func write(conn *websocket.Conn, raw []byte) error {
	if err := conn.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
		return err
	}
	return conn.WriteMessage(websocket.BinaryMessage, raw)
}

func closeLink(conn *websocket.Conn, log logrus.FieldLogger) {
	if err := conn.Close(); err != nil {
		log.WithError(err).Debug("close of a catalog link")
	}
}
