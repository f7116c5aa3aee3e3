package quarantine

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
)

// digest returns a hash of the record that does not depend on the order of notes
// with equal times.
func (r *Record) digest() uint64 {
	sum := hashOf(uint64(r.Fingerprint), uint64(r.ReleasedMS), "")
	for _, n := range r.Notes {
		sum ^= hashOf(uint64(r.Fingerprint)^n.ID.Seq, uint64(n.ID.Incarnation), string(n.ID.Host))
	}
	for shard, at := range r.ClearedMS {
		sum ^= hashOf(uint64(r.Fingerprint), uint64(at), "cleared "+string(shard))
	}
	return sum
}

func hashOf(a, b uint64, s string) uint64 {
	buf := make([]byte, 0, 64)
	buf = binary.BigEndian.AppendUint64(buf, a)
	buf = binary.BigEndian.AppendUint64(buf, b)
	return xxhash.Sum64(append(buf, s...))
}
