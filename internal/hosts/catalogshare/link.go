package catalogshare

import (
	"context"
	"errors"
	"net"
	"net/url"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/support/httpdial"
)

var (
	errSilent = errors.New("the link ended or was silent for too long")
	errStale  = errors.New("the reader's data is stale")
	errBehind = errors.New("the message is older than what the host knows")
)

// linkNumbers counts the links of this process. The first one has the number 1.
var linkNumbers atomic.Uint64

// link is an outgoing link to a reader.
type link struct {
	addr string
	conn *websocket.Conn
	// messages is closed when the link ends.
	messages chan *message
	log      logrus.FieldLogger
	// number tells the links of this process apart.
	number uint64

	// pending has crashes that the reader has not settled.
	pending pendingCrashes

	// writing is held while a message is written.
	writing sync.Mutex
}

// dial opens a link and starts the goroutine that reads its messages. If observe
// is set, the link carries counts and crash reports but no entries.
func dial(addr string, self gathering.Member, observe bool, log logrus.FieldLogger) (*link, error) {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	query := url.Values{domainQuery: {self.FailureDomain}, addrQuery: {self.Addr}, capacityQuery: {strconv.Itoa(self.Capacity)}}
	if observe {
		query.Set(observeQuery, "")
	}
	target := "ws://" + addr + Path + "?" + query.Encode()
	dialer := websocket.Dialer{HandshakeTimeout: dialTimeout, NetDialContext: httpdial.WebSocket(new(net.Dialer))}
	conn, resp, err := dialer.DialContext(ctx, target, nil)
	if resp != nil && resp.Body != nil {
		_ = resp.Body.Close() //nolint:errcheck // an upgrade's response has no body to lose
	}
	if err != nil {
		return nil, err
	}
	conn.SetReadLimit(maxMessageBytes)
	l := &link{addr: addr, conn: conn, messages: make(chan *message, outboxCapacity), log: log, number: linkNumbers.Add(1)}
	go l.read()
	return l, nil
}

// read passes on the link's messages until it fails or is silent for linkTimeout.
func (l *link) read() {
	defer close(l.messages)
	defer l.close()
	for {
		if err := l.conn.SetReadDeadline(time.Now().Add(linkTimeout)); err != nil {
			return
		}
		_, raw, err := l.conn.ReadMessage()
		if err != nil {
			return
		}
		m, err := decode(raw)
		if err != nil {
			l.log.WithError(err).WithField("peer", l.addr).Warn("catalog message is unreadable")
			return
		}
		l.messages <- m
	}
}

// send writes a message to the reader; a failure is only logged.
func (l *link) send(m *message) {
	raw, err := encode(m)
	if err == nil {
		l.writing.Lock()
		err = write(l.conn, raw)
		l.writing.Unlock()
	}
	if err != nil {
		l.log.WithError(err).WithField("peer", l.addr).Info("message to the reader was not sent")
	}
}

// next returns the next message, waiting at most linkTimeout. It fails with
// errStale if the reader's data is older than maxReadAge.
func (l *link) next() (*message, error) {
	timer := time.NewTimer(linkTimeout)
	defer timer.Stop()
	select {
	case m, ok := <-l.messages:
		if !ok {
			return nil, errSilent
		}
		if m.AgeMS > maxReadAge.Milliseconds() {
			return nil, errStale
		}
		return m, nil
	case <-timer.C:
		return nil, errSilent
	}
}

// end closes the link and drains its messages, so that its goroutine can finish.
func (l *link) end() {
	l.close()
	go func() {
		for range l.messages {
		}
	}()
}

func (l *link) close() { closeLink(l.conn, l.log) }
