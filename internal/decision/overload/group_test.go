package overload

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

const (
	testObjective = 200 * time.Millisecond
	testWork      = 20 * time.Millisecond
)

var epoch = time.Unix(1_700_000_000, 0)

// offerer offers requests to a group in virtual time, each of which ends after took.
type offerer struct {
	*Group
	now    time.Time
	took   time.Duration
	result Result
	open   []Ticket
}

func newOfferer() *offerer {
	return &offerer{Group: NewGroup(epoch), now: epoch, took: 300 * time.Millisecond, result: Overdue}
}

// offer offers one request of each of the ranks every 10 ms and returns how many are
// admitted by rank.
func (o *offerer) offer(lasts time.Duration, ranks ...int) map[int]int {
	admitted := map[int]int{}
	for end := o.now.Add(lasts); o.now.Before(end); o.now = o.now.Add(10 * time.Millisecond) {
		for len(o.open) > 0 && o.now.Sub(o.open[0].admitted) >= o.took {
			o.Ended(o.now, o.open[0], o.result)
			o.open = o.open[1:]
		}
		for _, rank := range ranks {
			a := o.Admit(o.now, Request{Rank: rank, Work: testWork, Objective: testObjective, Left: time.Second})
			if a.Admitted {
				o.open = append(o.open, a.Ticket)
				admitted[rank]++
			}
		}
	}
	return admitted
}

// TestLateRequestsLimitTheGroupUntilTheyAreInTime guards against a group that goes on to
// admit what can't be in time, and against a limit that outlives the overload.
func TestLateRequestsLimitTheGroupUntilTheyAreInTime(t *testing.T) {
	o := newOfferer()
	o.offer(time.Second, 1)
	require.True(t, o.Limited())
	o.offer(3*time.Second, 1)
	require.Less(t, o.offer(time.Second, 1)[1], 10, "even few are late")
	o.took, o.result = 5*time.Millisecond, InTime
	o.offer(8*time.Second, 1)
	require.False(t, o.Limited())
}

// TestRequestsThatAreLateForOtherReasonsDoNotLimitTheGroup guards against refusals because of
// slow or dead targets.
func TestRequestsThatAreLateForOtherReasonsDoNotLimitTheGroup(t *testing.T) {
	o := newOfferer()
	o.result = Excused
	o.offer(3*time.Second, 1)
	require.False(t, o.Limited())
}

// TestHalfOfTheRequestsInTimeIsNoOverload guards against a limit while admitting all serves
// many: those refused would come back.
func TestHalfOfTheRequestsInTimeIsNoOverload(t *testing.T) {
	o := newOfferer()
	for range 50 {
		o.result = Overdue
		o.offer(100*time.Millisecond, 1)
		o.result = InTime
		o.offer(100*time.Millisecond, 1)
	}
	require.False(t, o.Limited())
}

// TestLessUrgentRequestsGiveWay guards against less urgent callers that are served in place
// of more urgent ones, and against a rank that gets nothing for seconds.
func TestLessUrgentRequestsGiveWay(t *testing.T) {
	o := newOfferer()
	o.took, o.result = 50*time.Millisecond, InTime
	o.limiter = limiter{limit: 2, refusedAt: epoch, nextStep: epoch.Add(time.Minute)}
	admitted := o.offer(4*time.Second, 0, 1)
	require.Greater(t, admitted[0], 100)
	require.InDelta(t, 4, admitted[1], 1)
}

// TestSmallRequestsCountByTheirWork guards against limits that take all routes for the same
// work: those with little work would be refused for room that others leave.
func TestSmallRequestsCountByTheirWork(t *testing.T) {
	g := NewGroup(epoch)
	g.limiter = limiter{limit: 1, refusedAt: epoch, nextStep: epoch.Add(time.Minute)}
	require.True(t, g.Admit(epoch, Request{Rank: 1, Work: testWork}).Admitted)
	require.False(t, g.Admit(epoch, Request{Rank: 1, Work: testWork}).Admitted)
	small := 0
	for range 20 {
		if g.Admit(epoch, Request{Rank: 0, Work: testWork / 5}).Admitted {
			small++
		}
	}
	require.InDelta(t, 5, small, 1)
}

// TestFrozenHostForgetsItsLimit guards against refusals after a freeze, and against a limit
// because of requests that the freeze made late.
func TestFrozenHostForgetsItsLimit(t *testing.T) {
	o := newOfferer()
	o.offer(time.Second, 1)
	require.True(t, o.Limited())
	o.now = o.now.Add(3 * time.Second)
	o.Advance(o.now)
	require.False(t, o.Limited())
	for _, ticket := range o.open {
		o.Ended(o.now, ticket, Overdue)
	}
	o.open, o.result = nil, InTime
	o.offer(time.Second, 1)
	require.False(t, o.Limited())
}

// TestRefusedCallersReturnWithinTheTimeTheyWait guards against callers that are told to come
// back later than they are willing to, or all at once.
func TestRefusedCallersReturnWithinTheTimeTheyWait(t *testing.T) {
	least, most := time.Hour, time.Duration(0)
	for n := range 50 {
		after := retryAfter(900*time.Millisecond, n)
		least, most = min(least, after), max(most, after)
	}
	require.LessOrEqual(t, most, 300*time.Millisecond)
	require.Greater(t, most-least, 100*time.Millisecond)
	require.Positive(t, retryAfter(time.Millisecond, 1))
}

// TestFirstLimitFollowsRecentWork guards against a first limit by the work of an earlier burst,
// which would take seconds to find the capacity.
func TestFirstLimitFollowsRecentWork(t *testing.T) {
	o := newOfferer()
	o.took, o.result = time.Second, InTime
	o.offer(time.Second, 1)
	require.Greater(t, o.limiter.peak, 50.0)
	o.took = 20 * time.Millisecond
	o.offer(5*time.Second, 1)
	require.Less(t, o.limiter.peak, 10.0)
}
