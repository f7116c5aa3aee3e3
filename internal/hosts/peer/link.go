package peer

import (
	"bytes"
	"io"
	"runtime"
	"sync"
	"sync/atomic"
	"time"

	"github.com/fasthttp/websocket"
	"github.com/rotisserie/eris"
)

// link is an authenticated connection to a peer. One goroutine reads its frames and
// another writes them.
type link struct {
	conn     *websocket.Conn
	opts     *Options
	counters *counters
	outbox   *outbox
	// prepare, if set, is called by the writer for each message just before it is
	// written. If it returns false, the message is dropped.
	prepare func(*outMessage, time.Time) bool

	// lastReceived is when the last frame was read, in Unix nanoseconds.
	lastReceived atomic.Int64
	// pingedAt is when the last ping was queued, in Unix nanoseconds. It is zero
	// if a frame has arrived since then.
	pingedAt  atomic.Int64
	closeOnce sync.Once
	closed    chan struct{}
	// finishing is closed by finish. finished is set by the writer once it has seen that.
	finishing chan struct{}
	finished  bool
}

// lastWriteTime bounds the writing of what is queued when the mesh closes.
const lastWriteTime = 200 * time.Millisecond

func newLink(conn *websocket.Conn, opts *Options, c *counters, out *outbox) *link {
	l := &link{conn: conn, opts: opts, counters: c, outbox: out, closed: make(chan struct{}), finishing: make(chan struct{})}
	l.lastReceived.Store(time.Now().UnixNano())
	conn.SetReadLimit(int64(opts.MaxFrameBytes))
	return l
}

// close closes the connection; the reader and writer then return.
func (l *link) close() {
	l.closeOnce.Do(func() {
		close(l.closed)
		_ = l.conn.Close()
	})
}

// finish makes the writer send the queued replies and messages and close the link. It is
// called once and does not block.
func (l *link) finish() {
	close(l.finishing)
	time.AfterFunc(lastWriteTime, l.close)
}

// read decodes frames and calls visit for each envelope until the link fails.
func (l *link) read(visit func(*envelope)) error {
	var scratch bytes.Buffer
	for {
		kind, r, err := l.conn.NextReader()
		if err != nil {
			return err
		}
		if kind != websocket.BinaryMessage {
			return eris.Wrap(errBadFrame, "not a binary frame")
		}
		scratch.Reset()
		if _, err := io.Copy(&scratch, r); err != nil {
			return err
		}
		l.lastReceived.Store(time.Now().UnixNano())
		l.pingedAt.Store(0)
		l.counters.framesReceived.Inc(1)
		l.counters.bytesReceived.Inc(int64(scratch.Len()))
		// Payloads may be kept after visit returns, so each frame gets its own
		// memory.
		frame := bytes.Clone(scratch.Bytes())
		if err := decodeFrame(frame, visit); err != nil {
			return err
		}
		if scratch.Cap() > maxKeptBufferBytes {
			scratch = bytes.Buffer{}
		}
	}
}

// maxKeptBufferBytes is the largest buffer that is kept for reuse.
const maxKeptBufferBytes = 256 << 10

// write sends the messages of the outbox, batched into frames, until the link is
// closed or a write fails. After finish it sends what is queued and returns.
func (l *link) write() error {
	var frame bytes.Buffer
	for {
		select {
		case <-l.closed:
			return nil
		case <-l.finishing:
			l.finished = true
			return l.flush(&frame)
		case <-l.outbox.wake:
		}
		// Let goroutines that are ready to run add their messages to this batch.
		runtime.Gosched()
		if err := l.flush(&frame); err != nil {
			return err
		}
		if frame.Cap() > maxKeptBufferBytes {
			frame = bytes.Buffer{}
		}
	}
}

// flush writes all queued messages, in frames of about DefaultFlushBytes. After finish it
// leaves calls out: their replies could not arrive any more, so they must not run.
func (l *link) flush(frame *bytes.Buffer) error {
	batch := l.outbox.take()
	frame.Reset()
	now := time.Now()
	messages := 0
	for i := range batch {
		m := &batch[i]
		if l.finished && m.call != nil || l.prepare != nil && !l.prepare(m, now) {
			continue
		}
		m.envelope.LeftMicros = leftMicros(m.deadline, now)
		if err := appendEnvelope(frame, &m.envelope); err != nil {
			return err
		}
		messages++
		if frame.Len() < DefaultFlushBytes {
			continue
		}
		if err := l.writeFrame(frame, messages); err != nil {
			return err
		}
		messages = 0
		now = time.Now()
	}
	if messages == 0 {
		return nil
	}
	return l.writeFrame(frame, messages)
}

func (l *link) writeFrame(frame *bytes.Buffer, messages int) error {
	if err := l.conn.SetWriteDeadline(time.Now().Add(l.opts.WriteTimeout)); err != nil {
		return err
	}
	if err := l.conn.WriteMessage(websocket.BinaryMessage, frame.Bytes()); err != nil {
		return err
	}
	l.counters.framesSent.Inc(1)
	l.counters.messagesSent.Inc(int64(messages))
	l.counters.bytesSent.Inc(int64(frame.Len()))
	frame.Reset()
	return nil
}

// silentFor returns the time since the last frame was read.
func (l *link) silentFor(now time.Time) time.Duration {
	return time.Duration(now.UnixNano() - l.lastReceived.Load())
}
