package relay

import (
	"sync"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// splits distributes the requests of each route over its services by smooth
// weighted round-robin. Each request goes to the service that is furthest below its
// share, so the shares hold for any sequence of requests and not only on average.
type splits struct {
	mu sync.Mutex
	// deficit holds, by the fingerprint of each route, how far each service is below its share.
	deficit map[uint64][]float64
}

// pick returns the service for the next request of a route.
func (s *splits) pick(route *catalog.Route) catalog.ServiceName {
	if len(route.Split) == 1 {
		return route.Split[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.deficit == nil || len(s.deficit) >= maxRoutes {
		s.deficit = map[uint64][]float64{}
	}
	deficit, ok := s.deficit[route.Fingerprint]
	if !ok {
		deficit = make([]float64, len(route.Split))
		s.deficit[route.Fingerprint] = deficit
	}
	return route.Split[nextPart(deficit, route.Split)].Service
}

// nextPart adds the weight of each part to its deficit, picks the part with the
// largest deficit and subtracts the total weight from that one.
func nextPart(deficit []float64, parts []catalog.WeightedService) int {
	total, best := 0.0, 0
	for i, part := range parts {
		deficit[i] += part.Weight
		total += part.Weight
		if deficit[i] > deficit[best] {
			best = i
		}
	}
	deficit[best] -= total
	return best
}
