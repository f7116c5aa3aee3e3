package fleet

import (
	"encoding/json"
	"maps"
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/config"
)

const (
	// maxDeltas limits the deltas that a host keeps for its peers.
	maxDeltas = 64
	// maxDeltaBytes limits the total size of their keys and values.
	maxDeltaBytes = 1 << 20
	// maxPushBytes limits the size of a delta that an announcement carries.
	maxPushBytes = 16 << 10
)

// appendDelta returns a copy of log with d added, without the oldest deltas that
// exceed the limits. It does not change log, which handlers may be reading.
func appendDelta(log []*config.Delta, d *config.Delta) []*config.Delta {
	log = append(slices.Clone(log), d)
	total := 0
	for i, entry := range slices.Backward(log) {
		total += deltaBytes(entry)
		if total > maxDeltaBytes || len(log)-i > maxDeltas {
			return log[i+1:]
		}
	}
	return log
}

func deltaBytes(d *config.Delta) int {
	total := 0
	for key, value := range d.Changed {
		total += len(key) + len(value)
	}
	for _, key := range d.Removed {
		total += len(key)
	}
	return total
}

// deltaSince returns the delta from the version have to the newest one, or nil if
// the log does not reach back to have.
func deltaSince(log []*config.Delta, have version) *config.Delta {
	for i, d := range log {
		if d.From == have.Revision && d.FromDigest == have.Digest {
			return mergeDeltas(log[i:])
		}
	}
	return nil
}

// mergeDeltas returns one delta with the effect of applying log in order.
func mergeDeltas(log []*config.Delta) *config.Delta {
	first, last := log[0], log[len(log)-1]
	changed := make(map[string]json.RawMessage)
	removed := make(map[string]struct{})
	for _, d := range log {
		maps.Copy(changed, d.Changed)
		for key := range d.Changed {
			delete(removed, key)
		}
		for _, key := range d.Removed {
			delete(changed, key)
			removed[key] = struct{}{}
		}
	}
	return &config.Delta{
		From: first.From, FromDigest: first.FromDigest, To: last.To, ToDigest: last.ToDigest,
		Changed: changed, Removed: slices.Sorted(maps.Keys(removed)),
	}
}
