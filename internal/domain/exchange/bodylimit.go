package exchange

import "bufio"

// BodyLimit bounds the memory for a reply's body.
type BodyLimit struct {
	// MaxBytes is the length from which on a body is refused; 0 stands for the codec's
	// own limit.
	MaxBytes int
	// Take is called before a buffer grows by n bytes and reports whether it may; nil
	// allows all.
	Take func(n int) bool
}

// BoundedReader is implemented by a TargetCodec that bounds the memory for a reply.
type BoundedReader interface {
	// ReadReplyWithin reads one complete reply like TargetCodec.ReadReply. It fails
	// once the body exceeds the limit.
	ReadReplyWithin(from *bufio.Reader, bodyless bool, limit BodyLimit) (*Reply, error)
}
