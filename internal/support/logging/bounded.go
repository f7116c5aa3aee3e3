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
// goroutine that writes them in batches. A line is dropped and counted if the queue is
// full or its batch can't be written.
type BoundedWriter struct {
	out     io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed by Close, done by the goroutine when it ends.
	closing chan struct{}
	done    chan struct{}
	once    sync.Once
}

// NewBoundedWriter returns a writer to out. Its goroutine runs until Close.
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
		lines := int64(0)
		batch = batch[:0]
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			lines++
		case <-b.closing:
			// No line is queued any more once the queue is empty after Close.
			if len(b.lines) == 0 {
				return
			}
		}
		batch, lines = b.fill(batch, lines)
		if _, err := b.out.Write(batch); err != nil {
			b.dropped.Add(lines)
		}
	}
}

// fill appends the queued lines to a batch as far as it has room, and how many were
// dropped. It returns the batch and the number of lines that are lost if it is not written.
func (b *BoundedWriter) fill(batch []byte, lines int64) ([]byte, int64) {
	for more := true; more && len(batch) < batchBytes; {
		select {
		case line := <-b.lines:
			batch = append(batch, line...)
			lines++
		default:
			more = false
		}
	}
	if n := b.dropped.Swap(0); n > 0 {
		batch = fmt.Appendf(batch, "{\"level\":\"warning\",\"message\":\"log lines were dropped: they could not be written, or the reader is too slow\",\"lines\":%d}\n", n)
		lines += n
	}
	return batch, lines
}
