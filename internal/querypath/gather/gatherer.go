// Package gather merges the sub-answers of a query and reports its coverage.
//
// A Gatherer is used only by the goroutine that runs the query. Coverage counts only
// merged sub-answers, never sub-queries that were merely sent.
package gather

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Outcome is the result of adding a sub-answer.
type Outcome uint8

const (
	// Merged means that the sub-answer is part of the result.
	Merged Outcome = iota
	// Failed means that the sub-answer has a failure reason and no result.
	Failed
	// WrongSnapshot means that the sub-answer was served from another snapshot and
	// discarded.
	WrongSnapshot
	// Duplicate means that the shard was already merged.
	Duplicate
	// Late means that the sub-answer arrived after Close.
	Late
)

// slot is the state of one shard.
type slot struct {
	merged bool
	body   []byte
	// reason is why the shard is missing, empty if it is merged or still open.
	reason verdict.Reason
	// outstanding is the number of attempts that were passed to the dispatcher and
	// are not answered yet.
	outstanding int
	// ran is set if a failed attempt ran, unknown if one may have run.
	ran, unknown bool
}

// Gatherer collects the sub-answers of one plan.
type Gatherer struct {
	snapshot model.SnapshotID
	shards   []model.Shard
	slots    []slot
	merged   int
	closed   bool
	counters *Counters
}

// New returns a Gatherer for the shards of the snapshot.
func New(snapshot model.SnapshotID, shards []model.Shard, counters *Counters) *Gatherer {
	return &Gatherer{
		snapshot: snapshot,
		shards:   shards,
		slots:    make([]slot, len(shards)),
		counters: counters,
	}
}

// Sent records that an attempt for the shard is passed to the dispatcher.
func (g *Gatherer) Sent(shard int) { g.slots[shard].outstanding++ }

// Add processes a sub-answer for the shard with this index in the plan.
func (g *Gatherer) Add(shard int, a *subquery.Answer) Outcome {
	s := &g.slots[shard]
	s.outstanding--
	switch {
	case g.closed:
		g.counters.late.Inc(1)
		return Late
	case s.merged:
		g.counters.duplicate.Inc(1)
		return Duplicate
	case !a.OK():
		s.recordFailure(a.Verdict, a.Reason)
		return Failed
	case a.Snapshot != g.snapshot:
		g.counters.wrongSnapshot.Inc(1)
		s.recordFailure(a.Verdict, verdict.SnapshotMismatch)
		return WrongSnapshot
	}
	s.merged = true
	s.body = a.Body
	s.reason = ""
	g.merged++
	return Merged
}

// recordFailure records a failed attempt. A cancellation does not replace an earlier
// reason.
func (s *slot) recordFailure(v verdict.Verdict, r verdict.Reason) {
	s.ran = s.ran || v == verdict.Ran
	s.unknown = s.unknown || v == verdict.Unknown
	if s.reason == "" || r != verdict.Cancelled {
		s.reason = r
	}
}

// MarkMissing marks the shard as missing for the reason, unless it was merged or
// already has a failure reason.
func (g *Gatherer) MarkMissing(shard int, r verdict.Reason) {
	s := &g.slots[shard]
	if !s.merged && s.reason == "" {
		s.reason = r
	}
}

// Merged returns how many shards were merged.
func (g *Gatherer) Merged() int { return g.merged }

// IsMerged reports whether the shard was merged.
func (g *Gatherer) IsMerged(shard int) bool { return g.slots[shard].merged }

// Reason returns why the shard failed or is missing, or an empty reason.
func (g *Gatherer) Reason(shard int) verdict.Reason { return g.slots[shard].reason }

// Close causes every later sub-answer to count as late.
func (g *Gatherer) Close() { g.closed = true }

// Verdict returns the combined verdict of all shards.
func (g *Gatherer) Verdict() verdict.Verdict {
	parts := make([]verdict.Verdict, len(g.slots))
	for i := range g.slots {
		parts[i] = g.slots[i].finalVerdict()
	}
	return verdict.Combine(parts...)
}

// finalVerdict returns the verdict of the shard. It is NotRun only if all attempts
// were answered with NotRun.
func (s *slot) finalVerdict() verdict.Verdict {
	switch {
	case s.merged:
		return verdict.Ran
	case s.unknown || s.outstanding > 0:
		return verdict.Unknown
	case s.ran:
		return verdict.Ran
	default:
		return verdict.NotRun
	}
}

// Coverage returns the merged shards and the reasons why the others are missing.
func (g *Gatherer) Coverage() Coverage {
	c := Coverage{Total: len(g.shards), Answered: make([]Answered, 0, g.merged), Missing: []Missing{}}
	for i := range g.slots {
		sh := &g.shards[i]
		if g.slots[i].merged {
			c.Answered = append(c.Answered, Answered{Shard: sh.ID, Service: sh.Service})
			continue
		}
		reason := g.slots[i].reason
		if reason == "" {
			reason = verdict.StragglerSkipped
		}
		c.Missing = append(c.Missing, Missing{Shard: sh.ID, Service: sh.Service, Reason: reason})
	}
	return c
}

// Results returns the results of the merged shards, in the order of the shard map.
func (g *Gatherer) Results() []Result {
	out := make([]Result, 0, g.merged)
	for i := range g.slots {
		if g.slots[i].merged {
			out = append(out, Result{Shard: g.shards[i].ID, Service: g.shards[i].Service, Body: g.slots[i].body})
		}
	}
	return out
}
