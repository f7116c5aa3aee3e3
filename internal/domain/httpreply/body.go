package httpreply

import (
	"bufio"
	"errors"
	"io"
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// bodyStepBytes is the largest buffer that is allocated for a body before any of it has
// arrived, and the size of the blocks in which the rest is read.
const bodyStepBytes = 64 << 10

// ErrNoMemory reports a body for which the host has no memory.
var ErrNoMemory = errors.New("the host has no memory for the reply's body")

// bodyReader reads a reply's body. Bytes beyond the first bodyStepBytes are kept in pooled
// blocks until the body is complete: bodies without end, which many targets may send at
// once, would else leave more garbage than the collector can keep up with.
type bodyReader struct {
	from  *bufio.Reader
	limit exchange.BodyLimit
	// begin has the first bytes, blocks those that follow, of which the last block holds
	// used; size is the length of all.
	begin  []byte
	blocks []*block
	used   int
	size   int
	// most is the length that the body can have at most.
	most int
}

// block is a pooled part of a body.
type block [bodyStepBytes]byte

var blocks = sync.Pool{New: func() any { return new(block) }}

// ReadBody reads the body of a reply, whose head states the length. The limit must have a
// largest number of bytes. A body that exceeds it is an *exchange.OversizedReply.
func ReadBody(from *bufio.Reader, length int, limit exchange.BodyLimit) ([]byte, error) {
	b := &bodyReader{from: from, limit: limit, most: limit.MaxBytes}
	defer b.release()
	var err error
	switch {
	case length >= 0:
		b.most = min(length, limit.MaxBytes)
		err = b.read(length)
	case length == Chunked:
		err = b.readChunks()
	default:
		err = b.readToEnd()
	}
	if err != nil {
		return nil, err
	}
	return b.join()
}

// release returns the blocks to the pool.
func (b *bodyReader) release() {
	for _, used := range b.blocks {
		blocks.Put(used)
	}
	b.blocks = nil
}

// join returns the whole body.
func (b *bodyReader) join() ([]byte, error) {
	if len(b.blocks) == 0 {
		return b.begin, nil
	}
	if !b.take(b.size) {
		return nil, ErrNoMemory
	}
	body := append(make([]byte, 0, b.size), b.begin...)
	for _, full := range b.blocks {
		body = append(body, full[:min(len(full), b.size-len(body))]...)
	}
	return body, nil
}

// take reports whether the host has memory for n more bytes.
func (b *bodyReader) take(n int) bool { return b.limit.Take == nil || b.limit.Take(n) }

// read appends the next n bytes to the body.
func (b *bodyReader) read(n int) error {
	if n > b.limit.MaxBytes-b.size {
		return &exchange.OversizedReply{Bytes: b.size + n}
	}
	for n > 0 {
		room, err := b.room(n)
		if err != nil {
			return err
		}
		if _, err := io.ReadFull(b.from, room); err != nil {
			return unexpected(err)
		}
		b.size += len(room)
		n -= len(room)
	}
	return nil
}

// room returns where the next bytes go, at most n.
func (b *bodyReader) room(n int) ([]byte, error) {
	if b.size < bodyStepBytes {
		return b.roomAtBegin(min(n, bodyStepBytes-b.size))
	}
	if len(b.blocks) == 0 || b.used == bodyStepBytes {
		if !b.take(bodyStepBytes) {
			return nil, ErrNoMemory
		}
		b.blocks = append(b.blocks, blocks.Get().(*block))
		b.used = 0
	}
	last := b.blocks[len(b.blocks)-1]
	room := last[b.used:min(b.used+n, bodyStepBytes)]
	b.used += len(room)
	return room, nil
}

// roomAtBegin makes room for n more of the first bytes. The buffer doubles, up to the length
// that the body can have, so that a body in many chunks is not copied for each.
func (b *bodyReader) roomAtBegin(n int) ([]byte, error) {
	needed := b.size + n
	if needed > cap(b.begin) {
		size := max(needed, min(2*cap(b.begin), b.most, bodyStepBytes))
		if !b.take(size - cap(b.begin)) {
			return nil, ErrNoMemory
		}
		begin := make([]byte, b.size, size)
		copy(begin, b.begin)
		b.begin = begin
	}
	b.begin = b.begin[:needed]
	return b.begin[b.size:], nil
}

// readChunks reads chunks up to the last one and discards the trailer.
func (b *bodyReader) readChunks() error {
	for {
		size, err := readChunkSize(b.from)
		if err != nil {
			return err
		}
		if size == 0 {
			return skipTrailer(b.from)
		}
		if err := b.read(size); err != nil {
			return err
		}
		if err := endChunk(b.from); err != nil {
			return err
		}
	}
}

// readToEnd reads up to the end of the connection. The protocol takes a body as complete
// if the target closes the connection in order; one that is reset or times out is not.
func (b *bodyReader) readToEnd() error {
	for {
		if _, err := b.from.Peek(1); errors.Is(err, io.EOF) {
			return nil
		} else if err != nil {
			return err
		}
		if err := b.read(b.from.Buffered()); err != nil {
			return err
		}
	}
}
