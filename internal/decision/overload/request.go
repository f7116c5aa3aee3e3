package overload

import "time"

// Stream is the origin of requests among which a group's capacity is divided.
type Stream struct {
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Domain is the failure domain of the host that the caller reached.
	Domain string
}

// Request is a request that asks for admission.
type Request struct {
	Stream
	// Returning is set if the caller has been refused before.
	Returning bool
	// Left is how long the caller still waits, 0 if it is unknown.
	Left time.Duration
	// Objective is the latency objective of the route.
	Objective time.Duration
}

// Admission is the answer to a request.
type Admission struct {
	Admitted bool
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Result is how an admitted request ended.
type Result uint8

const (
	// InTime means an answer in time without much queueing.
	InTime Result = iota
	// Delayed means an answer in time although calls were queued.
	Delayed
	// Overdue means a late or failed request whose calls were queued.
	Overdue
	// Unserved means a request that was refused after all, before any work, since its calls
	// would have waited too long. It tells that the limit is too high, but nothing about
	// the capacity.
	Unserved
	// Slow means an answer that was late for another reason. It tells nothing about the
	// limit, but was served.
	Slow
	// Excused means a request that failed for another reason, or whose caller left. It
	// doesn't count.
	Excused
)
