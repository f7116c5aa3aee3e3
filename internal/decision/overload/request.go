package overload

import "time"

// Request is a request that asks for admission.
type Request struct {
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Work is the time that a target works on it, 0 if it is unknown.
	Work time.Duration
	// Objective is the latency objective of the route.
	Objective time.Duration
	// Left is how long the caller still waits, 0 if it is unknown.
	Left time.Duration
}

// Admission is the answer to a request.
type Admission struct {
	Admitted bool
	// Ticket is to be passed to Ended if the request was admitted.
	Ticket Ticket
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Ticket is an admitted request.
type Ticket struct {
	rank int
	// weight is the work of the request, in units of the most work of one request.
	weight   float64
	admitted time.Time
}

// Result is how an admitted request ended.
type Result uint8

const (
	// InTime means an answer in time.
	InTime Result = iota
	// Overdue means a request that was late, failed or refused after all, since its calls
	// were queued.
	Overdue
	// Excused means a request that was late or failed for another reason, or whose caller
	// left. It tells nothing about the limit.
	Excused
)
