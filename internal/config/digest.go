package config

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of a document's keys and values. White space between
// JSON tokens does not count. It is the sum of the hashes of its entries, so
// that a delta can carry it on from one document to the next.
func Digest(keys map[string]json.RawMessage) uint64 {
	var sum uint64
	var h entryHasher
	for key, value := range keys {
		sum += h.hash(key, value)
	}
	return sum
}

// entryHasher hashes the entries of documents, one at a time.
type entryHasher struct {
	digest  xxhash.Digest
	compact bytes.Buffer
}

func (h *entryHasher) hash(key string, value json.RawMessage) uint64 {
	h.compact.Reset()
	if err := json.Compact(&h.compact, value); err != nil {
		h.compact.Reset()
		h.compact.Write(value)
	}
	h.digest.Reset()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(key)))
	_, _ = h.digest.Write(size[:])
	_, _ = h.digest.WriteString(key)
	_, _ = h.digest.Write(h.compact.Bytes())
	return h.digest.Sum64()
}

// sameValue reports whether two values differ at most in white space.
func sameValue(a, b json.RawMessage) bool {
	if bytes.Equal(a, b) {
		return true
	}
	var x, y bytes.Buffer
	if json.Compact(&x, a) != nil || json.Compact(&y, b) != nil {
		return false
	}
	return bytes.Equal(x.Bytes(), y.Bytes())
}
