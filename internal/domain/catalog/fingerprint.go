package catalog

import (
	"cmp"
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// fingerprintOf returns a hash of all that decides how a route's requests are served. That of a
// sweep must not change, since hosts of earlier builds compare it with their own.
func fingerprintOf(r *Route) uint64 {
	h := routeHash{xxhash.New()}
	h.texts(r.Name, r.Host, r.Prefix)
	for _, s := range r.Shards {
		h.texts(string(s))
	}
	h.numbers(
		uint64(r.Timeout), uint64(r.Objective), uint64(r.Priority), uint64(r.MaxAttempts), uint64(r.TopK), math.Float64bits(r.LeastCoverage),
	)
	h.texts(r.AllowedRegions...)
	if !r.Sweep() {
		h.single(r)
	}
	return cmp.Or(h.Sum64(), 1)
}

// routeHash hashes the parts of a route.
type routeHash struct{ *xxhash.Digest }

func (h routeHash) texts(texts ...string) {
	for _, s := range texts {
		_, _ = h.WriteString(s) // never fails
		_, _ = h.Write([]byte{0})
	}
}

func (h routeHash) numbers(numbers ...uint64) {
	for _, n := range numbers {
		_, _ = h.Write(binary.BigEndian.AppendUint64(nil, n))
	}
}

// single adds what only a route has that is no sweep.
func (h routeHash) single(r *Route) {
	for _, part := range r.Split {
		h.texts(string(part.Service))
		h.numbers(math.Float64bits(part.Weight))
	}
	if r.Idempotent {
		h.texts("idempotent")
	}
}
