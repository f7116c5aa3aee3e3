package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
	"github.com/swiftvane/swiftvane/internal/support/listener"
)

// Mesh links this host with its peers. It implements Transport and Registrar.
// Each pair of hosts has one link for each direction, dialed by the side that
// sends the calls.
type Mesh struct {
	opts     Options
	counters *counters
	upgrader websocket.FastHTTPUpgrader
	server   *fasthttp.Server

	// handlers is not changed after Start.
	handlers [maxKinds]Handler

	mu       sync.Mutex
	remotes  map[model.HostID]*remote
	listener net.Listener
	ctx      context.Context
	cancel   context.CancelFunc
	closed   bool
	running  sync.WaitGroup
}

// maxKinds is one more than the highest Kind.
const maxKinds = 32

// NewMesh returns a mesh that is not started yet.
func NewMesh(opts Options) (*Mesh, error) {
	if err := opts.check(); err != nil {
		return nil, err
	}
	opts.setDefaults()
	m := &Mesh{opts: opts, counters: newCounters(opts.Scope), remotes: make(map[model.HostID]*remote)}
	m.upgrader = websocket.FastHTTPUpgrader{
		HandshakeTimeout: opts.DialTimeout,
		ReadBufferSize:   readBufferBytes,
		WriteBufferSize:  writeBufferBytes,
		WriteBufferPool:  &writeBuffers,
		CheckOrigin:      func(*fasthttp.RequestCtx) bool { return true },
	}
	m.server = &fasthttp.Server{
		Handler:               m.serveHTTP,
		NoDefaultServerHeader: true,
		// Without this, Close has no effect on an upgraded connection.
		KeepHijackedConns:  true,
		ReadTimeout:        opts.DialTimeout,
		MaxRequestBodySize: maxHandshakeBytes,
		Logger:             opts.Log,
	}
	m.ctx, m.cancel = context.WithCancel(context.Background())
	return m, nil
}

// Handle implements Registrar. It must not be called after Start.
func (m *Mesh) Handle(kind Kind, h Handler) { m.handlers[kind] = h }

// Start listens for peers. The mesh stops when ctx ends or on Close.
func (m *Mesh) Start(ctx context.Context) error {
	opened, err := listener.Listen(m.opts.ListenAddr, m.opts.Log)
	if err != nil {
		return eris.Wrapf(err, "peer: listen on %s", m.opts.ListenAddr)
	}
	m.mu.Lock()
	m.listener = opened
	m.mu.Unlock()
	context.AfterFunc(ctx, m.cancel)
	m.spawn(func(context.Context) {
		if err := m.server.Serve(opened); err != nil && m.ctx.Err() == nil {
			m.opts.Log.WithError(err).Error("peer: the listener failed")
		}
	})
	return nil
}

// Addr returns the address that the mesh listens on, or "" before Start.
func (m *Mesh) Addr() string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener == nil {
		return ""
	}
	return m.listener.Addr().String()
}

// Close closes the listener and all links and waits for their goroutines. Replies and
// one-way messages that are queued are sent before, for at most lastWriteTime. Pending
// calls end with an error.
func (m *Mesh) Close() error {
	m.mu.Lock()
	m.closed = true
	opened := m.listener
	m.mu.Unlock()
	m.cancel()
	var err error
	if opened != nil {
		// Shutdown closes only listeners that were passed to Serve, which may not
		// have happened yet.
		_ = opened.Close()
		if err = m.server.Shutdown(); errors.Is(err, net.ErrClosed) {
			err = nil
		}
	}
	m.running.Wait()
	return err
}

// spawn runs f in a goroutine that Close waits for. It returns false if the
// mesh is closed.
func (m *Mesh) spawn(f func(context.Context)) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.closed {
		return false
	}
	m.running.Go(func() { f(m.ctx) })
	return true
}

// handle runs the handler for in. It returns false if there is none.
func (m *Mesh) handle(in *Inbound) bool {
	if int(in.Kind) >= len(m.handlers) || m.handlers[in.Kind] == nil {
		return false
	}
	m.handlers[in.Kind](in)
	return true
}

// EnsureLink reports whether a link to a host is up. If not, it starts a dial in
// the background, unless one is in progress or the backoff after a failed one has
// not passed.
func (m *Mesh) EnsureLink(id model.HostID) bool {
	s, err := m.remote(id).sessionForSend()
	return err == nil && s.currentLink() != nil
}

// remote returns the entry of a host and creates it if needed.
func (m *Mesh) remote(id model.HostID) *remote {
	m.mu.Lock()
	defer m.mu.Unlock()
	r, ok := m.remotes[id]
	if !ok {
		r = &remote{mesh: m, id: id}
		m.remotes[id] = r
	}
	return r
}

// serveHTTP upgrades requests on linkPath to WebSocket and answers all others
// with 404.
func (m *Mesh) serveHTTP(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != linkPath {
		ctx.Error("not found", fasthttp.StatusNotFound)
		return
	}
	if err := m.upgrader.Upgrade(ctx, m.accept); err != nil {
		m.counters.handshakeRefused(causeMalformed)
	}
}

// accept serves a connection that a peer dialed, in a goroutine that Close waits
// for, and closes it.
func (m *Mesh) accept(conn *websocket.Conn) {
	done := make(chan struct{})
	if m.spawn(func(ctx context.Context) { defer close(done); m.serveAccepted(ctx, conn) }) {
		<-done
	}
	_ = conn.Close()
}

func (m *Mesh) serveAccepted(ctx context.Context, conn *websocket.Conn) {
	stop := context.AfterFunc(ctx, func() { _ = conn.Close() })
	from, cause, err := acceptHandshake(conn, m.opts.Self, m.opts.Keys, time.Now().Add(m.opts.DialTimeout))
	stop()
	if err != nil {
		m.counters.handshakeRefused(cause)
		m.opts.Log.WithError(err).WithField("remote", conn.RemoteAddr().String()).Warn("peer handshake refused")
		return
	}
	setUserTimeout(conn, m.opts.WriteTimeout)
	a := &acceptedLink{mesh: m, from: from, inflight: make(map[uint64]*inboundContext)}
	a.link = newLink(conn, &m.opts, m.counters, newOutbox(replyOutboxFactor*m.opts.QueueMessages, m.opts.QueueBytes))
	runLink(ctx, a.link, a.receive, a.watch)
	a.end()
}

// Go implements Transport.
func (m *Mesh) Go(to model.HostID, kind Kind, req any, deadline time.Time, done func(cbor.RawMessage, error)) (cancel func()) {
	noop := func() {}
	payload, err := m.encode(req)
	if err != nil {
		done(nil, err)
		return noop
	}
	if to == m.opts.Self {
		return m.callSelf(kind, payload, deadline, done)
	}
	s, err := m.remote(to).sessionForSend()
	if err != nil {
		done(nil, err)
		return noop
	}
	return s.start(kind, payload, deadline, done)
}

// Call implements Transport.
func (m *Mesh) Call(ctx context.Context, to model.HostID, kind Kind, req, reply any) error {
	type result struct {
		payload cbor.RawMessage
		err     error
	}
	results := make(chan result, 1)
	deadline, _ := ctx.Deadline()
	cancel := m.Go(to, kind, req, deadline, func(payload cbor.RawMessage, err error) {
		results <- result{payload, err}
	})
	var r result
	select {
	case r = <-results:
	case <-ctx.Done():
		cancel()
		r = <-results
	}
	if r.err != nil {
		return r.err
	}
	if reply == nil {
		return nil
	}
	if err := Decode(r.payload, reply); err != nil {
		return &verdict.Error{Verdict: verdict.Unknown, Reason: verdict.Internal, Message: err.Error()}
	}
	return nil
}

// Send implements Transport.
func (m *Mesh) Send(to model.HostID, kind Kind, msg any) error {
	payload, err := m.encode(msg)
	if err != nil {
		return err
	}
	if to == m.opts.Self {
		m.handle(&Inbound{Ctx: m.ctx, From: to, Kind: kind, Payload: payload})
		return nil
	}
	s, err := m.remote(to).sessionForSend()
	if err != nil {
		return err
	}
	return s.send(kind, payload)
}

// encode encodes v and refuses a payload that does not fit into a frame.
func (m *Mesh) encode(v any) (cbor.RawMessage, error) {
	payload, err := encodePayload(v)
	if err != nil {
		return nil, &verdict.Error{Verdict: verdict.NotRun, Reason: verdict.Internal, Message: err.Error()}
	}
	if len(payload) > m.opts.MaxFrameBytes-DefaultFlushBytes-maxEnvelopeBytes {
		return nil, verdict.Refuse(verdict.BodyTooLarge, 0, "the message has %d bytes, a frame holds %d", len(payload), m.opts.MaxFrameBytes)
	}
	return payload, nil
}

// maxEnvelopeBytes bounds the size of an envelope without its payload.
const maxEnvelopeBytes = 64
