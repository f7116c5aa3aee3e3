package capacity

// Slopes holds the measured costs. Processor times are in microseconds and count
// all threads of the process.
type Slopes struct {
	// SubrequestUS is the processor time of one sub-request in the entry and
	// dispatch roles of one host, by shards per query, without the target's I/O.
	SubrequestUS map[int]float64 `json:"subrequest_us"`
	// RemoteUS is the additional processor time of a sub-request that another host
	// dispatches, both hosts together; RemoteBytes is its traffic on the link.
	RemoteUS    float64 `json:"remote_us"`
	RemoteBytes float64 `json:"remote_bytes"`
	// LinkBytes is the memory of one idle link, both ends together.
	LinkBytes float64 `json:"link_bytes"`
	// Fleet has one entry for each number of members measured.
	Fleet []FleetSlope `json:"fleet"`
	// ChangeBytes is the control traffic that one changed key adds on each host of
	// the largest fleet measured, and ChangeUS the processor time.
	ChangeBytes float64 `json:"change_bytes"`
	ChangeUS    float64 `json:"change_us"`
	// LargeChangeUS is the processor time of applying one changed key at the
	// design size.
	LargeChangeUS float64 `json:"large_change_us"`
	// ViewBytes is the memory of configuration, host list and owners at the
	// design size, DocumentBytes that of the document as published, and
	// OwnersMS the time to recompute all owners.
	ViewBytes     float64 `json:"view_bytes"`
	DocumentBytes float64 `json:"document_bytes"`
	OwnersMS      float64 `json:"owners_ms"`
	// ClaimUS is the processor time of one claim on all hosts together, and
	// ClaimEntryBytes the memory of one id on one witness.
	ClaimUS         float64 `json:"claim_us"`
	ClaimEntryBytes float64 `json:"claim_entry_bytes"`
}

// FleetSlope is the idle cost of control in a fleet of one size, per member and
// second, and the time until the slowest change was in force on all members.
type FleetSlope struct {
	Members  int     `json:"members"`
	CPUUS    float64 `json:"cpu_us"`
	Bytes    float64 `json:"bytes"`
	Messages float64 `json:"messages"`
	// Watchers is the number of members that hold watches at the platform.
	Watchers  int     `json:"watchers"`
	HeapBytes float64 `json:"heap_bytes"`
	InForceMS float64 `json:"in_force_ms"`
}
