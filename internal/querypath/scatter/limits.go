package scatter

import "time"

const (
	// ewmaDivisor is the inverse of the weight of a new latency sample.
	ewmaDivisor = 8
	// minCostLatency keeps an unmeasured target comparable.
	minCostLatency = 100 * time.Microsecond
	// avoidBase is the time a target is put off after its first failure.
	avoidBase = 50 * time.Millisecond
	// avoidMax bounds the time a target is put off.
	avoidMax = 5 * time.Second
	// maxAvoidDoublings bounds the doublings of avoidBase.
	maxAvoidDoublings = 8
	// slowStartPeriod is how long a target that came back is favoured less.
	slowStartPeriod = 5 * time.Second
	// slowStartPenalty multiplies the cost of a target that just came back.
	slowStartPenalty = 8.0

	// defaultHedgeDelay applies until a service has enough samples.
	defaultHedgeDelay = 100 * time.Millisecond
	// minHedgeDelay keeps timer noise from causing hedges.
	minHedgeDelay = 500 * time.Microsecond

	// hedgeBudgetShare of the hedge budget is what the delay alone lets through,
	// so that the budget is seldom empty when a straggler needs it.
	hedgeBudgetShare = 0.6
	// coverageSlack keeps rounding from asking for one shard more.
	coverageSlack = 1e-9

	// budgetCapacity bounds the extra sub-requests saved up in a budget.
	budgetCapacity = 64
	// budgetReserve is what a budget starts with.
	budgetReserve = 8
	// maxAttempts bounds the sub-requests sent for one shard of one plan.
	maxAttempts = 4
	// retryBackoff is the pause before a target is asked for the second time.
	retryBackoff = 5 * time.Millisecond
	// maxCrashes is how many crashed targets end a sub-request.
	maxCrashes = 2
)
