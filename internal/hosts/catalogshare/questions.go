package catalogshare

import "time"

// openQuestions is the number of questions about stewards that may be under way. An answer
// that comes later than after so many intervals is too old to be of use.
const openQuestions = 4

// askedQuestions has the times of the last questions about stewards. The zero value has none.
type askedQuestions struct {
	number uint64
	at     [openQuestions]time.Time
}

// next records a question at now and returns its number, from 1 on.
func (q *askedQuestions) next(now time.Time) uint64 {
	q.number++
	q.at[q.number%openQuestions] = now
	return q.number
}

// last returns when the last question was asked, zero before the first.
func (q *askedQuestions) last() time.Time { return q.at[q.number%openQuestions] }

// time returns when a question was asked, or false if it is unknown or too old.
func (q *askedQuestions) time(number uint64) (time.Time, bool) {
	if number == 0 || number > q.number || q.number-number >= openQuestions {
		return time.Time{}, false
	}
	return q.at[number%openQuestions], true
}
