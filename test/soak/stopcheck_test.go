package soak

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/standin/searcher"
)

// targetRecords is how often each request arrived at targets and ran, by its id.
type targetRecords struct{ arrivals, runs map[string]int }

func (s *stops) targetRecords() targetRecords {
	all := targetRecords{arrivals: map[string]int{}, runs: map[string]int{}}
	for service := range s.allIDs() {
		for id, n := range s.countByRequest(service, (*searcher.Searcher).Arrivals) {
			all.arrivals[id] += n
		}
		for id, n := range s.countByRequest(service, (*searcher.Searcher).Runs) {
			all.runs[id] += n
		}
	}
	return all
}

// checkExchanges checks that each request that reached a target was answered, that those which
// were refused did not run, and that late ones that must not be repeated reached no target.
func (s *stops) checkExchanges() {
	s.checkProcesses()
	records := s.targetRecords()
	statuses := map[int]int{}
	unanswered, late := 0, 0
	for i := range s.exchanges {
		x := &s.exchanges[i]
		statuses[x.status]++
		if x.err != nil && records.arrivals[x.id] > 0 {
			unanswered++
			s.t.Logf("%s at %s, sent at %s, unanswered after %s: %v", x.id, x.host, x.sent.UTC().Format(time.RFC3339Nano), x.took, x.err)
		}
		if s.checkRepeats(x, records) {
			late++
		}
	}
	s.t.Logf("%d requests, answered by status %v, %d of the others had reached a target; %d late ones that must not be repeated",
		len(s.exchanges), statuses, unanswered, late)
	require.Positive(s.t, statuses[200])
	require.Zero(s.t, unanswered, "requests that reached a target ended without an answer")
}

// checkRepeats checks the runs of a request that was refused or must not be repeated. It
// reports whether the request is of the latter kind and came late.
func (s *stops) checkRepeats(x *keptExchange, records targetRecords) bool {
	order := strings.HasPrefix(x.id, "order-")
	if order || x.status == http.StatusServiceUnavailable {
		s.checkOrder(attempt{id: x.id, status: x.status}, records.runs[x.id])
	}
	if !order || !s.late(x) {
		return false
	}
	require.Zero(s.t, records.arrivals[x.id], "%s came late and was sent to a target", x.id)
	return true
}

// late reports whether the request was sent to its host late in the grace of a stop.
func (s *stops) late(x *keptExchange) bool {
	return slices.ContainsFunc(s.planned, func(p plannedStop) bool {
		return p.host == x.host && x.sent.After(p.began.Add(lateAfter)) && x.sent.Before(p.end)
	})
}
