package quarantine

import "time"

// Limits of the quarantine.
const (
	// QuarantineTime is how long a request is refused after its last counted
	// crash.
	QuarantineTime = 10 * time.Minute
	// SuspicionTime is how long one crash counts against a request.
	SuspicionTime = 5 * time.Minute
	// ClockMargin bounds how far the clocks of hosts are apart.
	ClockMargin = 2 * time.Second
	// MaxRecords bounds the requests that a host keeps notes of.
	MaxRecords = 4096
)

const (
	quarantineMS  = int64(QuarantineTime / time.Millisecond)
	suspicionMS   = int64(SuspicionTime / time.Millisecond)
	clockMarginMS = int64(ClockMargin / time.Millisecond)
	// sameCrashMS is the time within which two reports of one request and target
	// are about one crash.
	sameCrashMS = 500
)
