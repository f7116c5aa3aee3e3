package config

// Policy holds the limits and budgets that apply to a query. Fleet.Defaults holds the
// fleet's defaults; Fleet.Policy applies the matching exceptions to them.
type Policy struct {
	// DeadlineDefaultMS applies to a query without a deadline.
	DeadlineDefaultMS int `json:"deadline_default_ms" validate:"min=1,max=600000"`
	// DeadlineMaxMS is the longest deadline that a query may request.
	DeadlineMaxMS int `json:"deadline_max_ms" validate:"min=1,max=600000,gtefield=DeadlineDefaultMS"`
	// StragglerWaitMS is how long a query waits for all its shards before it
	// returns an answer that meets MinCoverage.
	StragglerWaitMS int `json:"straggler_wait_ms" validate:"min=0,max=600000"`
	// MinCoverage is the minimum share of shards that must answer; a query with
	// less fails.
	MinCoverage float64 `json:"min_coverage" validate:"min=0,max=1"`
	// HedgeQuantile is the quantile of a service's recent latency after which a
	// hedge is sent.
	HedgeQuantile float64 `json:"hedge_quantile" validate:"min=0.5,max=0.999"`
	// HedgeBudget is the share of additional sub-requests that hedges may cause.
	HedgeBudget float64 `json:"hedge_budget" validate:"min=0,max=1"`
	// RetryBudget is the share of additional sub-requests that retries may cause.
	RetryBudget float64 `json:"retry_budget" validate:"min=0,max=1"`
	// CallerRate is the number of queries per second that one caller may send to
	// one host.
	CallerRate float64 `json:"caller_rate" validate:"min=0.1,max=1000000"`
	// CallerBurst is the number of queries that one caller may send at once.
	CallerBurst int `json:"caller_burst" validate:"min=1,max=1000000"`
	// CallerInflight bounds one caller's queries in flight on one host.
	CallerInflight int `json:"caller_inflight" validate:"min=1,max=1000000"`
	// MaxBodyBytes bounds the size of a query's body.
	MaxBodyBytes int `json:"max_body_bytes" validate:"min=1,max=67108864"`
}

// PolicyPatch overrides some of a Policy's values; nil keeps a value unchanged.
type PolicyPatch struct {
	DeadlineDefaultMS *int     `json:"deadline_default_ms,omitempty"`
	DeadlineMaxMS     *int     `json:"deadline_max_ms,omitempty"`
	StragglerWaitMS   *int     `json:"straggler_wait_ms,omitempty"`
	MinCoverage       *float64 `json:"min_coverage,omitempty"`
	HedgeQuantile     *float64 `json:"hedge_quantile,omitempty"`
	HedgeBudget       *float64 `json:"hedge_budget,omitempty"`
	RetryBudget       *float64 `json:"retry_budget,omitempty"`
	CallerRate        *float64 `json:"caller_rate,omitempty"`
	CallerBurst       *int     `json:"caller_burst,omitempty"`
	CallerInflight    *int     `json:"caller_inflight,omitempty"`
	MaxBodyBytes      *int     `json:"max_body_bytes,omitempty"`
}
