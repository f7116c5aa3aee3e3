// Package ownership assigns targets and keys to hosts by rendezvous hashing. Hosts
// with the same host list compute the same assignment without communication.
//
// The package starts no goroutines. Its values are immutable and safe for
// concurrent use.
package ownership

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// Ranker ranks a fixed set of hosts for any key.
type Ranker struct {
	hosts  []model.Host
	hashes []uint64
}

// NewRanker returns a Ranker over all given hosts, regardless of their state and
// order.
func NewRanker(hosts []model.Host) *Ranker {
	r := &Ranker{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i := range hosts {
		r.hashes[i] = xxhash.Sum64String(string(hosts[i].ID))
	}
	return r
}

// Rank returns the n hosts that rank first for key, best first, or all hosts if
// there are fewer.
func (r *Ranker) Rank(key string, n int) []model.Host {
	type ranked struct {
		index int
		score uint64
	}
	keyHash := xxhash.Sum64String(key)
	best := make([]ranked, 0, n+1)
	for i, hash := range r.hashes {
		entry := ranked{i, mix(hash, keyHash)}
		at, _ := slices.BinarySearchFunc(best, entry, func(a, b ranked) int {
			if c := cmp.Compare(b.score, a.score); c != 0 {
				return c
			}
			return cmp.Compare(r.hosts[a.index].ID, r.hosts[b.index].ID)
		})
		if at >= n {
			continue
		}
		best = slices.Insert(best, at, entry)
		best = best[:min(len(best), n)]
	}
	hosts := make([]model.Host, len(best))
	for i, entry := range best {
		hosts[i] = r.hosts[entry.index]
	}
	return hosts
}

// Rank returns the n hosts that rank first for key. For many keys over the same
// hosts a Ranker is cheaper.
func Rank(key string, hosts []model.Host, n int) []model.Host {
	return NewRanker(hosts).Rank(key, n)
}

// Multipliers of the SplitMix64 finalizer.
const (
	mixFirst  = 0xbf58476d1ce4e5b9
	mixSecond = 0x94d049bb133111eb
)

// mix combines the hashes of a host and a key into the host's score for the key.
func mix(host, key uint64) uint64 {
	x := host ^ (key * mixFirst)
	x = (x ^ x>>30) * mixFirst
	x = (x ^ x>>27) * mixSecond
	return x ^ x>>31
}
