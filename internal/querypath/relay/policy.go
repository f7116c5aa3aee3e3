package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Policy selects how targets are chosen and when sub-requests are hedged.
type Policy uint8

const (
	// Adaptive chooses targets by their recent replies and hedges by the latency of
	// the route. It is the default.
	Adaptive Policy = iota
	// Floor chooses targets at random and hedges after a fixed time. It is the
	// baseline against which Adaptive is compared.
	Floor
)

// floorHedgeShare is the share of the objective after which Floor hedges.
const floorHedgeShare = 0.35

// ParsePolicy returns the policy with the given name. The empty name means Adaptive.
func ParsePolicy(name string) (Policy, error) {
	switch name {
	case "", "adaptive":
		return Adaptive, nil
	case "floor":
		return Floor, nil
	default:
		return Adaptive, fmt.Errorf("policy %q is neither adaptive nor floor", name)
	}
}

// pick returns the index of the chosen candidate, or -1 if there are none.
func (p Policy) pick(candidates []replica.Candidate, usual time.Duration) int {
	if p == Adaptive {
		return replica.Choose(candidates, usual, rand.Float64)
	}
	if len(candidates) == 0 {
		return -1
	}
	return rand.IntN(len(candidates))
}

// hedgeTime returns when a sub-request that was sent at sent is hedged.
func (p Policy) hedgeTime(s schedule, route *catalog.Route, sent time.Time, expectedTimes expectedTimes, ready bool) time.Time {
	if p == Adaptive {
		return s.hedgeTime(sent, expectedTimes, ready)
	}
	return sent.Add(time.Duration(floorHedgeShare * float64(route.Objective)))
}

// quorum returns the share of a sweep's shards that must be settled before the
// others are hedged.
func (p Policy) quorum() float64 {
	if p == Adaptive {
		return hedgeQuorum
	}
	return 0
}
