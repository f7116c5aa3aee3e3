package catalogshare

import (
	"sync"
	"time"
	"unicode/utf8"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
)

// Handle accepts a link. It refuses one whose texts are no UTF-8: they are sent to all followers, which
// could decode no message with them.
func (h *Hub) Handle(ctx *fasthttp.RequestCtx) {
	args := ctx.QueryArgs()
	if !utf8.Valid(args.Peek(domainQuery)) || !utf8.Valid(args.Peek(addrQuery)) {
		h.log.WithField("from", ctx.RemoteAddr().String()).Warn("catalog link refused: its address or failure domain is not valid UTF-8")
		ctx.Error("the address and the failure domain must be valid UTF-8", fasthttp.StatusBadRequest)
		return
	}
	f := &follower{out: make(chan []byte, outboxCapacity), observe: args.Has(observeQuery), domain: string(args.Peek(domainQuery))}
	f.member = gathering.Member{Addr: string(args.Peek(addrQuery)), FailureDomain: f.domain, Capacity: args.GetUintOrZero(capacityQuery)}
	if err := h.upgrader.Upgrade(ctx, func(conn *websocket.Conn) { h.serveLink(conn, f) }); err != nil {
		h.log.WithError(err).Info("catalog link upgrade failed")
	}
}

// serveLink writes to one link until it ends.
func (h *Hub) serveLink(conn *websocket.Conn, f *follower) {
	h.mu.Lock()
	if h.position.IsZero() {
		// There are no entries yet: closing makes the peer try another reader.
		h.mu.Unlock()
		closeLink(conn, h.log)
		return
	}
	first := h.newMessage()
	if !f.observe {
		first = h.fullMessage()
	}
	// The other host may have restarted or been cut off, and know none of these.
	first.CrashReports, first.Cleared = h.guard.Reports(time.Now()), h.guard.Clearances(time.Now())
	h.addAllLeaving(first)
	h.addAllLimits(first)
	h.addMembers(first, true)
	h.followers[f] = true
	h.issuing.joins++
	h.mu.Unlock()
	var reading sync.WaitGroup
	// The server reuses the connection's buffers once this function returns, so
	// the reading goroutine must have ended by then.
	defer reading.Wait()
	defer closeLink(conn, h.log)
	defer func() {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.remove(f)
	}()
	reading.Go(func() { h.readFollower(conn, f) })
	raw, err := encode(first)
	if err != nil {
		h.log.WithError(err).Error("catalog message can't be encoded")
		return
	}
	for raw != nil && write(conn, raw) == nil {
		raw = <-f.out
	}
}

// readFollower handles a follower's crash reports and samples until the link ends, or a
// follower that reports periodically is silent for reportTimeout. It then closes the link, which makes the next write on it fail.
func (h *Hub) readFollower(conn *websocket.Conn, f *follower) {
	defer closeLink(conn, h.log)
	conn.SetReadLimit(maxMessageBytes)
	pending := &pendingCrashes{}
	defer h.adoptPending(pending)
	for {
		_, raw, err := conn.ReadMessage()
		if err != nil {
			return
		}
		m, err := decode(raw)
		if err != nil {
			h.log.WithError(err).Warn("message of a follower is unreadable")
			return
		}
		h.learnCrashes(m, pending)
		h.addLeaving(m)
		h.addSamples(m.Samples)
		h.answerStewards(f, m.Stewards)
		h.addPauseEnds(m.PauseEnds)
		h.addLimitNotices(m.Limits)
		h.setFollowerLimitDemand(f, m.LimitDemand)
		if !m.Reports {
			continue
		}
		if err := conn.SetReadDeadline(time.Now().Add(reportTimeout)); err != nil {
			return
		}
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
		log.WithError(err).Debug("closing a catalog link failed")
	}
}
