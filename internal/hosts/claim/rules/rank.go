package rules

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// WitnessCount is the number of witnesses of an id. In a fleet with fewer hosts
// every host is a witness.
const WitnessCount = 5

// HostSet selects the witnesses of ids among the hosts of one host list. It is
// immutable.
type HostSet struct {
	hosts  []model.HostID
	hashes []uint64
}

// NewHostSet returns a set of all given hosts. Leaving hosts belong to it as well,
// because they still hold the ids that they granted.
func NewHostSet(hosts []model.HostID) *HostSet {
	s := &HostSet{hosts: hosts, hashes: make([]uint64, len(hosts))}
	for i, host := range hosts {
		s.hashes[i] = xxhash.Sum64String(string(host))
	}
	return s
}

// Witnesses returns the witnesses of an id: the hosts of highest rendezvous
// weight, up to WitnessCount, highest first.
func (s *HostSet) Witnesses(id string) []model.HostID {
	idHash := xxhash.Sum64String(id)
	var weights [WitnessCount]uint64
	top := make([]model.HostID, 0, WitnessCount)
	for i, host := range s.hosts {
		weight := mix(idHash, s.hashes[i])
		at := len(top)
		for at > 0 && heavier(weight, host, weights[at-1], top[at-1]) {
			at--
		}
		if at == WitnessCount {
			continue
		}
		if len(top) < WitnessCount {
			top = append(top, "")
		}
		copy(top[at+1:], top[at:])
		copy(weights[at+1:], weights[at:])
		top[at], weights[at] = host, weight
	}
	return top
}

func heavier(weight uint64, host model.HostID, other uint64, otherHost model.HostID) bool {
	return weight > other || weight == other && host < otherHost
}

// mix combines two hashes with the finalizer of splitmix64.
func mix(a, b uint64) uint64 {
	z := a ^ b*0x9e3779b97f4a7c15
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}
