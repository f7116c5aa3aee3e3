package plan

import "time"

const (
	notReadyRetryAfter = time.Second
	snapshotRetryAfter = time.Second
)
