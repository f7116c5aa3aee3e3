package gatherlink

import (
	"context"
	"errors"
	"net"
	"sync"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/reach"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/support/httpdial"
)

// dialTimeout bounds the set-up of a link, handshake included.
const dialTimeout = 600 * time.Millisecond

// perMille is the number of thousandths in a share of 1.
const perMille = 1000

var errLinkEnded = errors.New("the gather link ended")

// outcome is what became of a sweep on a link.
type outcome struct {
	kind   frameKind
	answer *answer
	// otherRoute is set if a gatherer refused the request since its route for it differs.
	otherRoute bool
	// opinions answer a question about targets.
	opinions []reach.Opinion
	err      error
}

// link is a client's link to one gatherer.
type link struct {
	frameWriter
	addr string
	log  logrus.FieldLogger

	mu sync.Mutex
	// pending gets the outcomes of each sweep on the link: accepted or refused, then
	// the answer, or an error.
	pending map[uint64]chan outcome
	lastID  uint64
	ended   bool
	// avoidUntil is when a gatherer is asked again that refused a sweep or did not
	// accept one in time.
	avoidUntil time.Time
	// lateUntil is until when a gatherer whose answer came late is the last choice.
	lateUntil time.Time
	clock     remoteClock
	// lostShare is the share of its targets that the gatherer can't reach.
	lostShare float64
	// readsAnyText is set if the gatherer reads texts that are no UTF-8.
	readsAnyText bool
	// checksRoutes is set if the gatherer compares the routes of all requests with its own.
	checksRoutes bool
}

// dialLink opens a link and starts the goroutine that reads it.
func dialLink(addr string, log logrus.FieldLogger) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: httpdial.WebSocket(new(net.Dialer))}
	conn, resp, err := dialer.DialContext(ctx, "ws://"+addr+Path, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close() //nolint:errcheck // an upgrade's response has no body to lose
	}
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxFrameBytes)
	l := &link{frameWriter: frameWriter{conn: conn}, addr: addr, log: log, pending: map[uint64]chan outcome{}}
	go l.read()
	return l, nil
}

// read passes on outcomes until the link ends or is silent for linkTimeout.
func (l *link) read() {
	defer l.end()
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(linkTimeout)); err != nil {
			return
		}
		f, err := readFrame(l.conn)
		if broken, ok := errors.AsType[*frameError](err); ok {
			l.pass(broken.ID, outcome{err: broken})
			continue
		}
		if err != nil {
			return
		}
		if f.Kind == kindHeartbeat {
			l.heard(f)
			continue
		}
		l.pass(f.ID, outcome{kind: f.Kind, answer: f.Answer, otherRoute: f.OtherRoute, opinions: f.Opinions})
	}
}

// heard records a heartbeat.
func (l *link) heard(f *frame) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.clock.heard(time.Now(), f.ClockUS)
	l.lostShare = float64(min(max(f.LostPerMille, 0), perMille)) / perMille
	l.readsAnyText = f.ReadsAnyText
	l.checksRoutes = f.ChecksRoutes
}

// reads reports whether the gatherer can decode the request.
func (l *link) reads(r *passedRequest) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.readsAnyText || r.isUTF8()
}

// checks reports whether the gatherer compares a request's route with its own.
func (l *link) checks(route *catalog.Route) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.checksRoutes || route.Sweep()
}

// lost returns the share of its targets that the other host last reported as lost.
func (l *link) lost() float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lostShare
}

// beginBy returns the reading of the gatherer's clock at the given time, 0 if unknown.
func (l *link) beginBy(at time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.clock.at(at)
}

// pass gives an outcome to the sweep that waits for it, if there still is one.
func (l *link) pass(id uint64, o outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	waiting, ok := l.pending[id]
	if !ok {
		return
	}
	select {
	case waiting <- o:
	default:
		l.log.WithField("gatherer", l.addr).Warn("gatherer sent more frames than a sweep has")
	}
}

// end closes the link and ends the sweeps on it.
func (l *link) end() {
	l.mu.Lock()
	l.ended = true
	for id, waiting := range l.pending {
		delete(l.pending, id)
		select {
		case waiting <- outcome{err: errLinkEnded}:
		default:
		}
	}
	l.mu.Unlock()
	if err := l.conn.Close(); err != nil {
		l.log.WithError(err).Debug("closing a gather link failed")
	}
}

// retire ends the link once no sweep waits on it: a gatherer that is no longer one still
// answers what it has begun. Each sweep ends by its caller's deadline.
func (l *link) retire(interval time.Duration) {
	l.mu.Lock()
	waiting := len(l.pending)
	l.mu.Unlock()
	if waiting > 0 {
		time.AfterFunc(interval, func() { l.retire(interval) })
		return
	}
	l.end()
}

// maxOutcomes is the number of outcomes that a sweep can have on one link.
const maxOutcomes = 4

// send passes a sweep on and returns the channel of its outcomes and its id. It fails
// only if nothing was sent.
func (l *link) send(r *passedRequest) (<-chan outcome, uint64, error) {
	return l.sendFrame(&frame{Kind: kindRequest, Request: r})
}

// sendFrame sends a frame with a new id and returns the channel of its outcomes and the id. It
// fails only if nothing was sent.
func (l *link) sendFrame(f *frame) (<-chan outcome, uint64, error) {
	waiting := make(chan outcome, maxOutcomes)
	l.mu.Lock()
	if l.ended {
		l.mu.Unlock()
		return nil, 0, errLinkEnded
	}
	l.lastID++
	id := l.lastID
	l.pending[id] = waiting
	l.mu.Unlock()
	f.ID = id
	raw, err := encodeFrame(f)
	if err != nil {
		l.forget(id)
		return nil, 0, err
	}
	if err := l.writeRaw(raw); err != nil {
		// Some of it may have been sent; the link's end tells the sweep.
		l.end()
	}
	return waiting, id, nil
}

// forget drops a sweep.
func (l *link) forget(id uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.pending, id)
}

// withdraw drops a sweep and tells the gatherer.
func (l *link) withdraw(id uint64) {
	l.forget(id)
	if err := l.write(&frame{Kind: kindCancel, ID: id}); err != nil {
		l.log.WithError(err).WithField("gatherer", l.addr).Debug("withdrawing a sweep failed")
	}
}

// avoid makes usable return false for the given time.
func (l *link) avoid(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.avoidUntil = now.Add(d)
}

// late makes the gatherer the last choice for the given time.
func (l *link) late(now time.Time, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lateUntil = now.Add(d)
}

// isLate reports whether the gatherer is the last choice.
func (l *link) isLate(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Before(l.lateUntil)
}

// usable reports whether the link is open, its gatherer not avoided and its clock known.
func (l *link) usable(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !l.ended && !now.Before(l.avoidUntil) && l.clock.known()
}

func (l *link) isEnded() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ended
}
