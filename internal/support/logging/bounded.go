package logging

import (
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// boundedLines is the largest number of queued lines.
	boundedLines = 2048
	// batchBytes is the size at which a batch of lines is written.
	batchBytes = 32 << 10
)

// BoundedWriter is a writer whose Write never blocks. It queues lines for a
// goroutine that writes them in batches; if the queue is full, the line is dropped
// and counted.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done by the goroutine when it ends.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer to out. Its goroutine runs until Close or until
// a write to out fails.
func NewBoundedWriter(out io.Writer) *BoundedWriter {
	b := &BoundedWriter{out: out, lines: make(chan []byte, boundedLines), closing: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. It queues one line and never fails.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	select {
	case b.lines <- append([]byte(nil), line...):
	default:
		b.dropped.Add(1)
	}
	return len(line), nil
}

// Close makes the goroutine write the queued lines and end, and waits at most the
// given time for it.
func (b *BoundedWriter) Close(within time.Duration) {
	b.once.Do(func() { close(b.closing) })
	timer := time.NewTimer(within)
	defer timer.Stop()
	select {
	case <-b.done:
	case <-timer.C:
	}
}

func (b *BoundedWriter) run() {
	defer close(b.done)
	batch := make([]byte, 0, batchBytes)
	for {
		batch = batch[:0]
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		case <-b.closing:
			// No line is queued any more once the queue is empty after Close.
			if len(b.lines) == 0 {
				return
			}
		}
		batch = b.fill(batch)
		if _, err := b.out.Write(batch); err != nil {
			return
		}
	}
}

// fill appends the queued lines to a batch as far as it has room, and how many were
// dropped.
func (b *BoundedWriter) fill(batch []byte) []byte {
	for more := true; more && len(batch) < batchBytes; {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
		default:
			more = false
		}
	}
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"message\":\"log lines were dropped: the reader is too slow\",\"lines\":%d}\n", n)
	}
	return batch
}
