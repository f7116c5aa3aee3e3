package catalogshare

import (
	"math"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/crashguard"
	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/decision/targetlimit"
	"github.com/swiftvane/swiftvane/internal/decision/warmup"
	"github.com/swiftvane/swiftvane/internal/domain/bounds"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
)

// TestNumbersOfMessageStayInBounds guards against sums of what several hosts state that wrap around, and
// against times that lie in the future.
func TestNumbersOfMessageStayInBounds(t *testing.T) {
	for _, n := range []int64{math.MinInt64, -1, 0, 3, 1 << 62, math.MaxInt64} {
		ms, count := bounds.Period(n, time.Millisecond).Milliseconds(), bounds.Count(int(n))
		raw, err := cbor.Marshal(extremeMessage(n))
		require.NoError(t, err)
		m, err := decode(raw)
		require.NoError(t, err)
		require.Equal(t, []int64{ms, ms, ms, ms, ms, ms, ms}, []int64{
			m.AgeMS, m.DisputedMS, m.CrashMemoryMS, m.LeavingAgesMS[0], m.CrashReports[0].AgeMS, m.PendingCrashes[0].AgeMS, m.Cleared[0].AgeMS,
		})
		require.Equal(t, []int{count, count, count, count, count, count, count, count, count, count}, []int{
			m.OwnHosts, m.Hosts, m.OwnDomains["a"], m.Domains["a"], m.Members[0].Capacity, m.Gatherers[0].Capacity, m.Helpers[0].Capacity,
			m.Samples[0].Good, m.Samples[0].Bad, m.Stewards.List.Hosts,
		})
		require.InDelta(t, bounds.MaxCount, m.LimitDemand[0].PerSecond, 0)
		require.Zero(t, m.LimitDemand[1].PerSecond)
		s, ok := m.Limits[0].Statement(time.Now())
		require.True(t, ok)
		require.InDelta(t, exchange.MaxLimit, s.PerSecond, 0)
	}
}

// extremeMessage returns a message in which each number is n, or beyond all requests.
func extremeMessage(n int64) *message {
	members := []gathering.Member{{Addr: "a", Capacity: int(n)}}
	reports := []crashguard.CrashReport{{AgeMS: n}}
	return &message{
		AgeMS: n, DisputedMS: n, CrashMemoryMS: n, Leaving: []TargetStart{{Target: "t"}}, LeavingAgesMS: []int64{n},
		CrashReports: reports, PendingCrashes: reports, Cleared: []crashguard.Clearance{{AgeMS: n}},
		OwnHosts: int(n), Hosts: int(n), OwnDomains: map[string]int{"a": int(n)}, Domains: map[string]int{"a": int(n)},
		Members: members, Gatherers: members, Helpers: members, Samples: []targethealth.Sample{{Good: int(n), Bad: int(n)}},
		Stewards:    &stewards{List: &warmup.List{Hosts: int(n)}},
		LimitDemand: []targetlimit.ServiceDemand{{PerSecond: math.Inf(1)}, {PerSecond: math.NaN()}},
		Limits:      []targetlimit.Notice{{Limited: true, PerSecond: math.MaxFloat64}},
	}
}
