package catalog

import (
	"encoding/binary"
	"math"

	"github.com/cespare/xxhash/v2"
)

// fingerprintOf returns a hash of all that decides how a sweep is served, 0 for a route
// that is no sweep.
func fingerprintOf(r *Route) uint64 {
	if !r.Sweep() {
		return 0
	}
	digest := xxhash.New()
	for _, s := range append([]string{r.Name, r.Host, r.Prefix}, shardNames(r)...) {
		_, _ = digest.WriteString(s) // never fails
		_, _ = digest.Write([]byte{0})
	}
	numbers := []uint64{
		uint64(r.Timeout), uint64(r.Objective), uint64(r.Priority), uint64(r.MaxAttempts), uint64(r.TopK), math.Float64bits(r.LeastCoverage),
	}
	for _, n := range numbers {
		_, _ = digest.Write(binary.BigEndian.AppendUint64(nil, n))
	}
	for _, region := range r.AllowedRegions {
		_, _ = digest.WriteString(region)
		_, _ = digest.Write([]byte{0})
	}
	return digest.Sum64()
}

func shardNames(r *Route) []string {
	names := make([]string, len(r.Shards))
	for i, s := range r.Shards {
		names[i] = string(s)
	}
	return names
}
