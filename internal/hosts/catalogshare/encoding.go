package catalogshare

import (
	"bytes"
	"compress/flate"
	"fmt"
	"io"
	"sync"

	"github.com/fxamacker/cbor/v2"

	"github.com/swiftvane/swiftvane/internal/support/panics"
)

const (
	// compressFrom is the size of an encoded message from which on it is compressed, in
	// bytes. A reader sends each message to all of its followers: when many targets
	// change at once, its own answers would wait behind the copies on its network link.
	compressFrom = 2 << 10
	// compressedMark is the first byte of a compressed message. No CBOR map begins with
	// it.
	compressedMark = 0x00
	// maxMessageBytes bounds a message after decompression.
	maxMessageBytes = 64 << 20
)

// compressors holds writers for reuse, each of which has about a megabyte of tables.
var compressors = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // the level is valid
	}
	return w
}}

// encode encodes a message, compressed if it is large.
func encode(m *message) ([]byte, error) {
	raw, err := cbor.Marshal(m)
	if err != nil || len(raw) < compressFrom {
		return raw, err
	}
	var out bytes.Buffer
	out.WriteByte(compressedMark)
	w := compressors.Get().(*flate.Writer)
	defer compressors.Put(w)
	w.Reset(&out)
	if _, err := w.Write(raw); err != nil {
		return nil, err
	}
	if err := w.Close(); err != nil {
		return nil, err
	}
	return out.Bytes(), nil
}

// decode decodes a message, whose numbers it keeps in bounds.
func decode(raw []byte) (m *message, err error) {
	defer panics.Catch(&err)
	if len(raw) > 0 && raw[0] == compressedMark {
		if raw, err = decompress(raw[1:]); err != nil {
			return nil, err
		}
	}
	m = &message{}
	if err := cbor.Unmarshal(raw, m); err != nil {
		return nil, err
	}
	m.bound()
	return m, nil
}

func decompress(packed []byte) ([]byte, error) {
	raw, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(packed)), maxMessageBytes+1))
	if err != nil {
		return nil, err
	}
	if len(raw) > maxMessageBytes {
		return nil, fmt.Errorf("a message has more than %d bytes", maxMessageBytes)
	}
	return raw, nil
}
