package verdict

// Reason is the cause for which a request or sub-request was refused, retried,
// discarded or failed. Its value is the reason tag of counters and the reason
// field of answers and logs.
type Reason string

// Reasons for refusing a request before any work was done.
const (
	BadRequest          Reason = "bad_request"
	BodyTooLarge        Reason = "body_too_large"
	UnknownWorkload     Reason = "unknown_workload"
	UnknownService      Reason = "unknown_service"
	DeadlineInvalid     Reason = "deadline_invalid"
	DeadlinePassed      Reason = "deadline_passed"
	CallerRateLimited   Reason = "caller_rate_limited"
	CallerInflightLimit Reason = "caller_inflight_limit"
	HostStopping        Reason = "host_stopping"
	HostNotReady        Reason = "host_not_ready"
	HostOverloaded      Reason = "host_overloaded"
	Unauthorized        Reason = "unauthorized"
	Quarantined         Reason = "quarantined"
)

// Reasons for refusing a request in the at-most-once protocol.
const (
	RequestIDInvalid     Reason = "request_id_invalid"
	RequestIDExpired     Reason = "request_id_expired"
	RequestIDDuplicate   Reason = "request_id_duplicate"
	RequestIDReused      Reason = "request_id_reused"
	ClaimNoMajority      Reason = "claim_no_majority"
	ClaimWitnessChanged  Reason = "claim_witness_changed"
	ClaimWitnessFull     Reason = "claim_witness_full"
	ClaimListStale       Reason = "claim_list_stale"
	ClaimDeadlinePassed  Reason = "claim_deadline_passed"
	ClaimWitnessStarting Reason = "claim_witness_starting"
)

// Reasons for refusing, discarding or failing a sub-request, and for failing the
// query that it belongs to.
const (
	QueueFull           Reason = "queue_full"
	PredictedWait       Reason = "predicted_wait"
	TargetShed          Reason = "target_shed"
	TargetLeaving       Reason = "target_leaving"
	TargetEvacuated     Reason = "target_evacuated"
	TargetUnreachable   Reason = "target_unreachable"
	TargetFailed        Reason = "target_failed"
	TargetCrashed       Reason = "target_crashed"
	TargetSilent        Reason = "target_silent"
	SnapshotMismatch    Reason = "snapshot_mismatch"
	SnapshotUnavailable Reason = "snapshot_unavailable"
	ReplyMismatch       Reason = "reply_mismatch"
	ReplyTruncated      Reason = "reply_truncated"
	NoReplica           Reason = "no_replica"
	NotOwner            Reason = "not_owner"
	OwnerUnreachable    Reason = "owner_unreachable"
	PeerLinkLost        Reason = "peer_link_lost"
	Cancelled           Reason = "cancelled"
	StragglerSkipped    Reason = "straggler_skipped"
	RetryBudgetSpent    Reason = "retry_budget_spent"
	HedgeBudgetSpent    Reason = "hedge_budget_spent"
	CoverageTooLow      Reason = "coverage_too_low"
	Internal            Reason = "internal"
)
