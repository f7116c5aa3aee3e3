package relay

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// splits spreads the requests of a route over its services by weight. Each
// request goes to the service that is furthest behind its share, so that the
// shares hold over any run of requests and not just on average.
type splits struct {
	mu   sync.Mutex
	debt map[*catalog.Route][]float64
}

func (s *splits) pick(route *catalog.Route) catalog.ServiceName {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.debt == nil || len(s.debt) >= maxKinds {
		s.debt = map[*catalog.Route][]float64{}
	}
	debt, ok := s.debt[route]
	if !ok {
		debt = make([]float64, len(route.Split))
		s.debt[route] = debt
	}
	return route.Split[nextPart(debt, route.Split)].Service
}

// nextPart adds each part's weight to what it is owed and picks the part that
// is owed most.
func nextPart(debt []float64, parts []catalog.WeightedService) int {
	total, best := 0.0, 0
	for i, part := range parts {
		debt[i] += part.Weight
		total += part.Weight
		if debt[i] > debt[best] {
			best = i
		}
	}
	debt[best] -= total
	return best
}
