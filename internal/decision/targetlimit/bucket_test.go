package targetlimit

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func after(s float64) time.Time { return began.Add(time.Duration(s * float64(time.Second))) }

func TestPermitsComeAtTheRateAndUnusedOnesLapse(t *testing.T) {
	b := NewBucket(Allowance{PerSecond: 0.5, Lapses: true}, 0, began)
	require.Equal(t, 0, b.Permits(after(1.9)))
	require.Equal(t, 1, b.Permits(after(2.1)))
	require.Equal(t, 1, b.Permits(after(2.9)))
	require.Equal(t, 0, b.Permits(after(3.1)), "it was valid for a second")
	require.Equal(t, 1, b.Permits(after(5.1)), "the next one")
	require.Equal(t, 0, b.Permits(after(6.1)))
	few := NewBucket(Allowance{PerSecond: 0.5}, 0, began)
	require.Equal(t, 1, few.Permits(after(60)), "few hosts may keep theirs")
	fast := NewBucket(Allowance{PerSecond: 20, Lapses: true}, 0, began)
	require.Equal(t, 10, fast.Permits(after(60)), "half a second's permits are saved")
}

func TestWaitIsTheTimeUntilThePermitCanBeTaken(t *testing.T) {
	for _, rate := range []float64{0.1, 1, 7.3, 100} {
		b := NewBucket(Allowance{PerSecond: rate}, 0.25, began)
		wait := b.Wait(1, began, time.Hour)
		require.Positive(t, wait)
		require.Equal(t, 1, b.Permits(began.Add(wait)))
	}
	none := NewBucket(Allowance{}, 0, began)
	require.Equal(t, time.Second, none.Wait(1, after(9), time.Second))
}

// TestTakingMoreThanPermitsDelaysTheNext guards against calls in flight that are forgotten.
func TestTakingMoreThanPermitsDelaysTheNext(t *testing.T) {
	b := NewBucket(Allowance{PerSecond: 2}, 0, began)
	b.Take(began)
	b.Take(began)
	require.Equal(t, 0, b.Permits(after(1.4)))
	require.Equal(t, 1, b.Permits(after(1.6)))
}

func TestClockThatGoesBackGivesNoPermits(t *testing.T) {
	b := NewBucket(Allowance{PerSecond: 1}, 0, after(10))
	require.Equal(t, 0, b.Permits(began))
	require.Equal(t, 1, b.Permits(after(1)))
}

// TestHostsTogetherStayWithinLimitWhateverTheirDemand plays hosts with shares by their demand,
// which changes at once, and a limit that is raised and lowered: no 4 s have more than 1.5
// times the limit, and 5 requests.
func TestHostsTogetherStayWithinLimitWhateverTheirDemand(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("bounded", prop.ForAll(func(seed uint64, hosts int, limit float64) bool {
		return play(rand.New(rand.NewPCG(seed, 1)), hosts, limit)
	}, gen.UInt64(), gen.IntRange(1, 40), gen.Float64Range(0, 60)))
	properties.TestingRun(t, gopter.ConsoleReporter(false))
}

const (
	stepTime    = 0.02
	reportEvery = 20
	playedSteps = 1500
)

// playedHost is a host in play.
type playedHost struct {
	meter  Meter
	bucket Bucket
	// perSecond is what its callers want, offered what came since the last report.
	perSecond float64
	offered   int64
}

// play reports whether the hosts stayed within the limit.
func play(random *rand.Rand, count int, limit float64) bool {
	hosts := make([]*playedHost, count)
	for i := range hosts {
		hosts[i] = &playedHost{perSecond: random.ExpFloat64() * 20, bucket: NewBucket(Allowance{}, random.Float64(), began)}
	}
	var sent []float64
	for step := range playedSteps {
		at := float64(step) * stepTime
		now := after(at)
		if random.IntN(200) == 0 {
			for _, h := range hosts {
				h.perSecond = random.ExpFloat64() * 20 * float64(1+9*random.IntN(2))
			}
		}
		if step%reportEvery == 0 {
			report(hosts, limit, now)
		}
		for _, h := range hosts {
			if random.Float64() < h.perSecond*stepTime {
				h.offered++
				if h.bucket.Permits(now) > 0 {
					h.bucket.Take(now)
					sent = append(sent, at)
				}
			}
		}
	}
	return within(sent, 1.5*max(limit, LeastPerSecond)*4+5)
}

// report exchanges the hosts' demand and sets their rates.
func report(hosts []*playedHost, limit float64, now time.Time) {
	var totals Totals
	for _, h := range hosts {
		demand := []ServiceDemand{{Service: "s", PerSecond: h.meter.Measure(h.offered, now)}}
		totals.Add(NewReport(demand, now), now)
		h.offered = 0
	}
	for _, h := range hosts {
		for _, d := range totals.List() {
			h.meter.SetTotal(d.PerSecond, now)
		}
		h.bucket.SetAllowance(h.meter.Demand(now, len(hosts)).Part().Allowance(limit), now)
	}
}

// within reports whether no 4 s have more than bound of the times.
func within(sent []float64, bound float64) bool {
	from := 0
	for to := range sent {
		for sent[to]-sent[from] > 4 {
			from++
		}
		if float64(to-from+1) > bound {
			return false
		}
	}
	return true
}
