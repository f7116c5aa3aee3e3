package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/support/httpdial"
)

const (
	// linkPath is the path of the peer listener that upgrades to WebSocket.
	linkPath = "/peer"
	// readBufferBytes is the size of each link's read buffer.
	readBufferBytes = 4096
	// writeBufferBytes is the size of a write buffer. A link holds one only while
	// it writes a frame.
	writeBufferBytes = 64 << 10
	// keepAlivePeriod is the time between TCP keep-alive probes.
	keepAlivePeriod = 15 * time.Second
)

// writeBuffers are shared by all links of the process.
var writeBuffers sync.Pool

// dial connects to a host and performs the handshake.
func (m *Mesh) dial(ctx context.Context, to model.HostID, addr string, s *session) (*link, error) {
	ctx, cancel := context.WithTimeout(ctx, m.opts.DialTimeout)
	defer cancel()
	dialer := websocket.Dialer{
		NetDialContext:  httpdial.WebSocket(&net.Dialer{KeepAlive: keepAlivePeriod}),
		ReadBufferSize:  readBufferBytes,
		WriteBufferSize: writeBufferBytes,
		WriteBufferPool: &writeBuffers,
	}
	conn, resp, err := dialer.DialContext(ctx, "ws://"+addr+linkPath, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close()
	}
	if err != nil {
		return nil, eris.Wrapf(err, "peer: dial %s", addr)
	}
	deadline, _ := ctx.Deadline()
	if err := dialHandshake(conn, m.opts.Self, to, m.opts.Keys, deadline); err != nil {
		_ = conn.Close()
		return nil, err
	}
	setUserTimeout(conn, m.opts.WriteTimeout)
	l := newLink(conn, &m.opts, m.counters, s.outbox)
	l.prepare = s.prepare
	return l, nil
}

// serve calls connected and runs the link until it is lost or ctx ends. It returns
// at once if the session has already ended.
func (s *session) serve(ctx context.Context, l *link, connected func()) {
	if !s.attach(l) {
		l.close()
		return
	}
	connected()
	runLink(ctx, l, s.receive, func() { s.heartbeat(l) })
}

// runLink runs the reader in the calling goroutine, and the writer and watch in
// two more. It returns when all three have returned.
func runLink(ctx context.Context, l *link, visit func(*envelope), watch func()) {
	stop := context.AfterFunc(ctx, l.finish)
	defer stop()
	var wg sync.WaitGroup
	wg.Go(func() {
		if err := l.write(); err != nil {
			l.opts.Log.WithError(err).Debug("peer link: write failed")
		}
		l.close()
	})
	wg.Go(watch)
	if err := l.read(visit); err != nil {
		l.opts.Log.WithError(err).Debug("peer link: read failed")
	}
	l.close()
	wg.Wait()
}
