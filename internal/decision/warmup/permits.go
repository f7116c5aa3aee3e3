package warmup

import "math"

// MaxReaders is the number of readers that may issue different lists at once.
const MaxReaders = 3

// Permits returns the number of requests in any one second that the hosts with lists of one
// reader may send to a cold target which sustains perSecond requests a second. The bound over
// all hosts is perSecond*over+slack.
func Permits(perSecond, over, slack float64) int {
	bound := perSecond*over + slack
	if !(bound > 0) || math.IsInf(bound, 0) {
		return 0
	}
	return int(min(math.Floor(bound/MaxReaders), math.MaxInt32))
}
