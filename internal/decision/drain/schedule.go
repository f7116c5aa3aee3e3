// Package drain decides which requests a stopping host still takes, and when it answers
// those that it has not finished. It does no I/O and starts no goroutines.
package drain

import "time"

const (
	// answerTime is the end of the drain limit that is kept for answering what is
	// unfinished: half of it for callers, half for other hosts.
	answerTime = time.Second
	// answerShare bounds answerTime to this part of a short drain limit.
	answerShare = 4
)

// Schedule is the timetable of one stop. A nil Schedule is that of a host that is not
// stopping. It is immutable.
type Schedule struct {
	// RefuseAt is when the lame-duck time ends and all new queries are refused.
	RefuseAt time.Time
	// AnswerAt is when the queries that are still in flight are answered.
	AnswerAt time.Time
	// ReleaseAt is when the wait for callers' connections ends and the sub-requests of
	// other hosts that are still in flight are answered.
	ReleaseAt time.Time
	// EndAt is when the drain limit passes.
	EndAt time.Time
}

// NewSchedule returns the schedule of a stop whose lame-duck time begins now.
func NewSchedule(now time.Time, lameDuck, limit time.Duration) *Schedule {
	refuse := now.Add(lameDuck)
	end := refuse.Add(limit)
	margin := min(answerTime, limit/answerShare)
	return &Schedule{RefuseAt: refuse, AnswerAt: end.Add(-margin), ReleaseAt: end.Add(-margin / 2), EndAt: end}
}

// Fits reports whether the host can work on a request until its deadline.
func (s *Schedule) Fits(deadline time.Time) bool { return s == nil || !deadline.After(s.AnswerAt) }
