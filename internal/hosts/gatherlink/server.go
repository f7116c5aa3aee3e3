package gatherlink

import (
	"errors"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// Handler serves sweeps of other hosts.
type Handler interface {
	// Accept returns how this host serves a request, if it serves it as the host that
	// passed it on would by its route. It must not block.
	Accept(r *exchange.Request, route exchange.PassedRoute) exchange.Acceptance
}

// Server serves sweeps that other hosts pass on. It is safe for concurrent use.
type Server struct {
	handler  Handler
	log      logrus.FieldLogger
	upgrader websocket.FastHTTPUpgrader
	// started is the zero of the server's clock.
	started  time.Time
	stopping atomic.Bool
	// lostShare returns the share of targets that this host can't reach.
	lostShare func() float64
	// appendFields appends the header lines of an answer.
	appendFields AppendFields
	// opinion returns what this host can say of a target; nil if it can say nothing.
	opinion func(Loss) reach.Opinion
	// active counts the sweeps that were accepted and have not been answered.
	active atomic.Int64
}

// NewServer returns a server without links. lostShare returns the share of targets, 0 to 1,
// that this host can't reach; it must not block, and nil stands for none. appendFields encodes
// signatures that are no UTF-8.
func NewServer(handler Handler, lostShare func() float64, appendFields AppendFields, log logrus.FieldLogger) *Server {
	return &Server{
		handler: handler, log: log, started: time.Now(), lostShare: lostShare, appendFields: appendFields,
		upgrader: websocket.FastHTTPUpgrader{CheckOrigin: func(*fasthttp.RequestCtx) bool { return true }},
	}
}

// Stop makes the server refuse further sweeps, which then go to other gatherers.
func (s *Server) Stop() { s.stopping.Store(true) }

// Active returns the number of accepted sweeps that have not been answered or withdrawn.
func (s *Server) Active() int64 { return s.active.Load() }

// Idle reports whether all accepted sweeps have been answered or withdrawn.
func (s *Server) Idle() bool { return s.Active() == 0 }

// clock returns the reading of the server's clock, in microseconds.
func (s *Server) clock() int64 { return time.Since(s.started).Microseconds() }

// heartbeat returns the next heartbeat.
func (s *Server) heartbeat() *frame {
	f := &frame{Kind: kindHeartbeat, ClockUS: s.clock(), ReadsAnyText: true, ChecksRoutes: true}
	if s.lostShare != nil {
		f.LostPerMille = int(perMille * s.lostShare())
	}
	return f
}

// Handle accepts a link.
func (s *Server) Handle(ctx *fasthttp.RequestCtx) {
	if err := s.upgrader.Upgrade(ctx, s.serve); err != nil {
		s.log.WithError(err).Info("gather link upgrade failed")
	}
}

// serve handles one link until it ends.
func (s *Server) serve(conn *websocket.Conn) {
	conn.SetReadLimit(maxFrameBytes)
	l := &serverLink{server: s, frameWriter: frameWriter{conn: conn}, sweeps: map[uint64]chan struct{}{}}
	ended := make(chan struct{})
	var beating sync.WaitGroup
	beating.Go(func() { l.sendHeartbeats(ended) })
	l.read()
	close(ended)
	l.withdrawAll()
	if err := conn.Close(); err != nil {
		s.log.WithError(err).Debug("closing a gather link failed")
	}
	beating.Wait()
	// The server reuses the connection's buffers once this function returns.
	l.serving.Wait()
}

// serverLink is one incoming link.
type serverLink struct {
	frameWriter
	server  *Server
	serving sync.WaitGroup

	sweepsMu sync.Mutex
	// sweeps has a channel for each sweep being served, closed when it is withdrawn.
	sweeps map[uint64]chan struct{}
}

// sendHeartbeats sends a heartbeat at once and then periodically until the link ends or a write fails.
func (l *serverLink) sendHeartbeats(ended <-chan struct{}) {
	ticker := time.NewTicker(heartbeatInterval)
	defer ticker.Stop()
	for {
		if l.write(l.server.heartbeat()) != nil {
			_ = l.conn.Close() //nolint:errcheck // the failed write was the news
			return
		}
		select {
		case <-ended:
			return
		case <-ticker.C:
		}
	}
}

// read handles the client's frames until the link ends.
func (l *serverLink) read() {
	for {
		f, err := readFrame(l.conn)
		if broken, ok := errors.AsType[*frameError](err); ok {
			l.refuseBroken(broken)
			continue
		}
		if err != nil {
			return
		}
		switch f.Kind {
		case kindRequest:
			l.begin(f)
		case kindCancel:
			l.withdraw(f.ID)
		case kindAsk:
			l.reply(&frame{Kind: kindOpinions, ID: f.ID, Opinions: l.server.opinionsOf(f.Losses)})
		}
	}
}

// refuseBroken refuses a request that can't be decoded.
func (l *serverLink) refuseBroken(broken *frameError) {
	l.server.log.WithError(broken).Warn("frame of a gather link is unreadable")
	if broken.Kind == kindRequest {
		l.reply(&frame{Kind: kindRefused, ID: broken.ID})
	}
}

// begin accepts or refuses a sweep.
func (l *serverLink) begin(f *frame) {
	if f.Request == nil {
		return
	}
	request := f.Request.request(time.Now())
	// Counted before the check, so that Stop followed by Idle misses no sweep.
	l.server.active.Add(1)
	var acceptance exchange.Acceptance
	if !l.tooLate(f.Request) && !l.server.stopping.Load() {
		acceptance = l.server.handler.Accept(request, f.Request.route())
	}
	if acceptance.Serve == nil {
		l.server.active.Add(-1)
		l.reply(&frame{Kind: kindRefused, ID: f.ID, OtherRoute: acceptance.OtherRoute})
		return
	}
	gone := make(chan struct{})
	l.sweepsMu.Lock()
	l.sweeps[f.ID] = gone
	l.sweepsMu.Unlock()
	l.reply(&frame{Kind: kindAccepted, ID: f.ID})
	l.serving.Go(func() {
		defer l.server.active.Add(-1)
		// A process that is short of processor time may come to this much later.
		if l.tooLate(f.Request) {
			if l.end(f.ID) {
				l.reply(&frame{Kind: kindRefused, ID: f.ID})
			}
			return
		}
		a := acceptance.Serve(gone)
		if l.end(f.ID) {
			l.answer(f.ID, a)
		}
	})
}

// answer writes the answer to a request, or a failure if the other host would not read it.
func (l *serverLink) answer(id uint64, a *exchange.Answer) {
	raw, err := encodeFrame(&frame{Kind: kindAnswer, ID: id, Answer: answerOf(encodable(a, l.server.appendFields))})
	if err != nil {
		l.server.log.WithError(err).Error("answer can't be sent to another host")
		l.reply(&frame{Kind: kindAnswer, ID: id, Answer: &answer{Status: http.StatusBadGateway, Reason: exchange.GathererLost}})
		return
	}
	if err := l.writeRaw(raw); err != nil {
		l.server.log.WithError(err).Debug("writing to a gather link failed")
	}
}

// tooLate reports whether the sweep must not begin any more, because the host that
// passed it on no longer waits for it.
func (l *serverLink) tooLate(r *passedRequest) bool {
	return r.BeginByUS > 0 && l.server.clock() > r.BeginByUS
}

// end removes a sweep and reports whether it was not withdrawn.
func (l *serverLink) end(id uint64) bool {
	l.sweepsMu.Lock()
	defer l.sweepsMu.Unlock()
	_, wanted := l.sweeps[id]
	delete(l.sweeps, id)
	return wanted
}

func (l *serverLink) withdraw(id uint64) {
	l.sweepsMu.Lock()
	defer l.sweepsMu.Unlock()
	if gone, ok := l.sweeps[id]; ok {
		delete(l.sweeps, id)
		close(gone)
	}
}

func (l *serverLink) withdrawAll() {
	l.sweepsMu.Lock()
	defer l.sweepsMu.Unlock()
	for id, gone := range l.sweeps {
		delete(l.sweeps, id)
		close(gone)
	}
}

// reply writes a frame; the link's end is noticed by its reader.
func (l *serverLink) reply(f *frame) {
	if err := l.write(f); err != nil {
		l.server.log.WithError(err).Debug("writing to a gather link failed")
	}
}
