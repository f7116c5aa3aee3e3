package scatter

import "time"

const (
	// ewmaDivisor is the inverse of the weight of a new latency sample.
	ewmaDivisor = 8
	// minCostLatency is the least latency used for a target's cost, so that a target
	// without samples does not have a cost of zero.
	minCostLatency = 100 * time.Microsecond
	// avoidBase is how long a target is avoided after its first failure.
	avoidBase = 50 * time.Millisecond
	// avoidMax bounds how long a target is avoided.
	avoidMax = 5 * time.Second
	// maxAvoidDoublings bounds the doublings of avoidBase.
	maxAvoidDoublings = 8
	// slowStartPeriod is how long a recovered target has a raised cost.
	slowStartPeriod = 5 * time.Second
	// slowStartPenalty multiplies the cost of a target that has just recovered.
	slowStartPenalty = 8.0

	// defaultHedgeDelay applies until a service or its workload has enough samples.
	defaultHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay prevents hedges that are caused by timer inaccuracy.
	minHedgeDelay = 500 * time.Microsecond

	// hedgeBudgetShare is the share of the hedge budget that the hedge delay is
	// expected to use, so that tokens usually remain when a straggler needs one.
	hedgeBudgetShare = 0.6
	// coverageSlack prevents a rounding error from requiring one more shard.
	coverageSlack = 1e-9

	// budgetCapacity is the maximum number of tokens in a budget.
	budgetCapacity = 64
	// budgetReserve is the initial number of tokens in a budget.
	budgetReserve = 8
	// maxAttempts bounds the attempts for one shard of one plan.
	maxAttempts = 4
	// retryBackoff is the base of the pause before a replica that was tried is
	// tried again; the pause doubles with each attempt.
	retryBackoff = 5 * time.Millisecond
	// maxCrashes is the number of target crashes after which a shard is not retried,
	// since the request itself may crash targets.
	maxCrashes = 2
)
