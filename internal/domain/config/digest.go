package config

import (
	"bytes"
	"encoding/binary"
	"encoding/json"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a hash of a document's keys and values. It ignores white space
// between JSON tokens. It is the sum of the hashes of each key with its value, so
// that it can be updated incrementally after a change.
func Digest(keys map[string]json.RawMessage) uint64 {
	var sum uint64
	var h keyHasher
	for key, value := range keys {
		sum += h.hash(key, value)
	}
	return sum
}

// digestAfter returns the digest of keys with d applied. digest is that of keys
// before d.
func (d *Delta) digestAfter(keys map[string]json.RawMessage, digest uint64) uint64 {
	var h keyHasher
	subtract := func(key string) {
		if old, ok := keys[key]; ok {
			digest -= h.hash(key, old)
		}
	}
	for key, value := range d.Changed {
		subtract(key)
		digest += h.hash(key, value)
	}
	for _, key := range d.Removed {
		subtract(key)
	}
	return digest
}

// keyHasher hashes a key with its value. A value that is not valid JSON is hashed as
// it is. The buffer is reused between calls.
type keyHasher struct {
	digest xxhash.Digest
	value  bytes.Buffer
}

func (h *keyHasher) hash(key string, value json.RawMessage) uint64 {
	h.value.Reset()
	if err := json.Compact(&h.value, value); err != nil {
		h.value.Reset()
		h.value.Write(value)
	}
	h.digest.Reset()
	var size [8]byte
	binary.BigEndian.PutUint64(size[:], uint64(len(key)))
	_, _ = h.digest.Write(size[:])
	_, _ = h.digest.WriteString(key)
	_, _ = h.digest.Write(h.value.Bytes())
	return h.digest.Sum64()
}

// sameValue reports whether two values are equal except for white space between
// JSON tokens. Values that are not valid JSON must be identical.
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
