package overload

import (
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/stretchr/testify/require"
)

func demand(rank int, domain string, fresh, returning float64) Demand {
	return Demand{Stream: Stream{Rank: rank, Domain: domain}, Fresh: fresh, Returning: returning}
}

// TestDivisionStaysWithinCapacityAndFavoursUrgentRanks guards against a division that
// admits more than the capacity, leaves capacity unused while there is demand, or serves
// any rank better than the most urgent one.
func TestDivisionStaysWithinCapacityAndFavoursUrgentRanks(t *testing.T) {
	properties := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(17))
	rates := gen.SliceOfN(9, gen.Float64Range(0, 100))
	properties.Property("holds", prop.ForAll(func(fresh, returning []float64, capacity float64) bool {
		demands := make([]Demand, len(fresh))
		total := 0.0
		for i := range fresh {
			demands[i] = demand(i/3, string(rune('a'+i%3)), fresh[i], returning[i])
			total += fresh[i] + returning[i]
		}
		plan := Divide(capacity, demands)
		admitted, byRank, asked := 0.0, [3]float64{}, [3]float64{}
		for _, d := range demands {
			r := plan.Of(d.Stream)
			part := r.Fresh*d.Fresh + r.Returning*d.Returning
			admitted += part
			byRank[d.Rank] += part
			asked[d.Rank] += d.Fresh + d.Returning
		}
		if admitted > capacity*1.01 || admitted < min(capacity, total)*0.98 {
			return false
		}
		best := byRank[0] / max(asked[0], 1e-9)
		return byRank[1] <= (best+0.01)*asked[1] && byRank[2] <= (best+0.01)*asked[2]
	}, rates, rates, gen.Float64Range(1, 500)))
	properties.TestingRun(t)
}

// TestEachRankKeepsItsFloor guards against less urgent requests that are shut out.
func TestEachRankKeepsItsFloor(t *testing.T) {
	plan := Divide(100, []Demand{demand(0, "a", 500, 0), demand(1, "a", 400, 0)})
	require.InDelta(t, 90, plan.Of(Stream{Rank: 0, Domain: "a"}).Fresh*500, 0.01)
	require.InDelta(t, 10, plan.Of(Stream{Rank: 1, Domain: "a"}).Fresh*400, 0.01)
}

// TestBurstInOneDomainDoesNotDisplaceTheOthers guards against a division in proportion to
// the demand, which a burst would win.
func TestBurstInOneDomainDoesNotDisplaceTheOthers(t *testing.T) {
	plan := Divide(90, []Demand{demand(0, "a", 30, 0), demand(0, "b", 20, 0), demand(0, "burst", 900, 0)})
	require.Equal(t, 1.0, plan.Of(Stream{Domain: "a"}).Fresh)
	require.Equal(t, 1.0, plan.Of(Stream{Domain: "b"}).Fresh)
	require.InDelta(t, 40, plan.Of(Stream{Domain: "burst"}).Fresh*900, 0.01)
}

// TestReturningCallersHavePrecedenceForHalf guards against callers that are refused again
// when they come back, which are lost.
func TestReturningCallersHavePrecedenceForHalf(t *testing.T) {
	plan := Divide(100, []Demand{demand(0, "a", 300, 40)})
	require.Equal(t, 1.0, plan.Of(Stream{Domain: "a"}).Returning)
	require.InDelta(t, 60, plan.Of(Stream{Domain: "a"}).Fresh*300, 0.01)
	plan = Divide(100, []Demand{demand(0, "a", 300, 200)})
	require.InDelta(t, 50, plan.Of(Stream{Domain: "a"}).Returning*200, 0.01)
	plan = Divide(100, []Demand{demand(0, "a", 10, 200)})
	require.InDelta(t, 90, plan.Of(Stream{Domain: "a"}).Returning*200, 0.01)
}
