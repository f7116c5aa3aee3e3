package scatter

import (
	"math/rand/v2"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// chooseReplica returns the cheaper of two random replicas among those that were
// not tried for the shard and take new work. Replicas that reported not to hold
// the pinned snapshot are used only if there is no other.
func (r *run) chooseReplica(shard int, now time.Time) (model.TargetID, bool) {
	var holding, others [maxCandidates]model.TargetID
	nHolding, nOthers := 0, 0
	for _, t := range r.plan.Shards[shard].Replicas {
		if !r.plan.View.TakesWork(t) || r.tried(shard, t) {
			continue
		}
		if r.s.holdings.Holds(r.plan.Workload, t, r.plan.Snapshot) {
			nHolding = addToSample(&holding, nHolding, t)
		} else {
			nOthers = addToSample(&others, nOthers, t)
		}
	}
	if nHolding > 0 {
		return r.twoChoices(holding[:min(nHolding, maxCandidates)], now), true
	}
	if nOthers > 0 {
		return r.twoChoices(others[:min(nOthers, maxCandidates)], now), true
	}
	return "", false
}

// maxCandidates bounds the replicas compared for one choice.
const maxCandidates = 8

// addToSample adds t to a uniform sample of the n candidates before it and
// returns the new number of candidates.
func addToSample(sample *[maxCandidates]model.TargetID, n int, t model.TargetID) int {
	if n < maxCandidates {
		sample[n] = t
	} else if i := rand.IntN(n + 1); i < maxCandidates {
		sample[i] = t
	}
	return n + 1
}

// twoChoices returns the cheaper of two random candidates.
func (r *run) twoChoices(candidates []model.TargetID, now time.Time) model.TargetID {
	if len(candidates) == 1 {
		return candidates[0]
	}
	i := rand.IntN(len(candidates))
	j := rand.IntN(len(candidates) - 1)
	if j >= i {
		j++
	}
	a, b := candidates[i], candidates[j]
	if r.s.targets.Get(b).cost(now) < r.s.targets.Get(a).cost(now) {
		return b
	}
	return a
}

// chooseTriedReplica returns the cheapest replica that takes new work, for a shard whose
// replicas were all tried.
func (r *run) chooseTriedReplica(shard int, now time.Time) (model.TargetID, bool) {
	best, found := model.TargetID(""), false
	for _, t := range r.plan.Shards[shard].Replicas {
		if !r.plan.View.TakesWork(t) {
			continue
		}
		if !found || r.s.targets.Get(t).cost(now) < r.s.targets.Get(best).cost(now) {
			best, found = t, true
		}
	}
	return best, found
}
