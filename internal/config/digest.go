package config

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of a document's keys and values. White space between
// JSON tokens does not count.
func Digest(keys map[string]json.RawMessage) uint64 {
	h := xxhash.New()
	var size [8]byte
	write := func(data []byte) {
		binary.BigEndian.PutUint64(size[:], uint64(len(data)))
		_, _ = h.Write(size[:])
		_, _ = h.Write(data)
	}
	var value bytes.Buffer
	for _, key := range sortedKeys(keys) {
		write([]byte(key))
		value.Reset()
		if err := json.Compact(&value, keys[key]); err != nil {
			value.Reset()
			value.Write(keys[key])
		}
		write(value.Bytes())
	}
	return h.Sum64()
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
