package quarantine

import "time"

// Limits of the quarantine.
const (
	// QuarantineTime is how long a request is refused after its last counted
	// crash.
	QuarantineTime = 10 * time.Minute
	// SuspicionTime is how long one crash counts against a request.
	SuspicionTime = 5 * time.Minute
	// ClockMargin is the assumed bound on the clock skew between hosts.
	ClockMargin = 2 * time.Second
	// MaxRecords bounds the number of requests for which a host keeps a record.
	MaxRecords = 4096
)

const (
	quarantineMS  = int64(QuarantineTime / time.Millisecond)
	suspicionMS   = int64(SuspicionTime / time.Millisecond)
	clockMarginMS = int64(ClockMargin / time.Millisecond)
	// sameCrashMS is the time within which two reports for the same request and
	// target refer to the same crash.
	sameCrashMS = 500
)
