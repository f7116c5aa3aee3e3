package relay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/decision/replica"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// Policy says how requests are placed and hedged.
type Policy uint8

const (
	// Adaptive learns from targets' answers. It is the one to use.
	Adaptive Policy = iota
	// Floor takes any target and hedges at a fixed time. What Adaptive adds is
	// measured against it.
	Floor
)

// floorHedgeShare of the objective is when Floor hedges.
const floorHedgeShare = 0.35

// ParsePolicy reads a policy's name; the empty one is Adaptive.
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

// pick returns the index of the candidate that a policy takes, -1 for none.
func (p Policy) pick(candidates []replica.Candidate, usual time.Duration) int {
	if p == Adaptive {
		return replica.Choose(candidates, usual, rand.Float64)
	}
	if len(candidates) == 0 {
		return -1
	}
	return rand.IntN(len(candidates))
}

// hedgeTime is when a sub-request sent at sent gets a second target.
func (p Policy) hedgeTime(s schedule, route *catalog.Route, sent time.Time, pace pace, ready bool) time.Time {
	if p == Adaptive {
		return s.hedgeTime(sent, pace, ready)
	}
	return sent.Add(time.Duration(floorHedgeShare * float64(route.Objective)))
}

// quorum is the share of a sweep's shards that must have answered before the
// others are hedged.
func (p Policy) quorum() float64 {
	if p == Adaptive {
		return hedgeQuorum
	}
	return 0
}
