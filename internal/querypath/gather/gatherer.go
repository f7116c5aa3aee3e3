// Package gather merges sub-answers against a pinned shard map.
//
// A Gatherer belongs to the one goroutine that runs the query. Coverage comes
// only from answers that were merged, never from what was asked.
package gather

import (
	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/subquery"
	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// Outcome says what became of a sub-answer.
type Outcome uint8

const (
	// Merged answers are part of the result.
	Merged Outcome = iota
	// Failed answers carry a reason and no result.
	Failed
	// WrongSnapshot answers were served from another snapshot and discarded.
	WrongSnapshot
	// Duplicate answers came for a shard that was merged already.
	Duplicate
	// Late answers came after the answer was given.
	Late
)

// slot is the state of one shard.
type slot struct {
	merged bool
	body   []byte
	reason verdict.Reason
	// outstanding attempts were handed to the dispatcher and not answered yet.
	outstanding int
	// ran and unknown say that a failed attempt ran or may have run.
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

// Sent notes that an attempt for the shard is handed to the dispatcher.
func (g *Gatherer) Sent(shard int) { g.slots[shard].outstanding++ }

// Add takes in a sub-answer for the shard with this place in the shard map.
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
		s.note(a.Verdict, a.Reason)
		return Failed
	case a.Snapshot != g.snapshot:
		g.counters.wrongSnapshot.Inc(1)
		s.note(a.Verdict, verdict.SnapshotMismatch)
		return WrongSnapshot
	}
	s.merged = true
	s.body = a.Body
	s.reason = ""
	g.merged++
	return Merged
}

// note keeps a failed attempt. That it was cancelled does not hide why.
func (s *slot) note(v verdict.Verdict, r verdict.Reason) {
	s.ran = s.ran || v == verdict.Ran
	s.unknown = s.unknown || v == verdict.Unknown
	if s.reason == "" || r != verdict.Cancelled {
		s.reason = r
	}
}

// GiveUp marks the shard as missing for the reason unless it was merged or has
// failed for a reason of its own.
func (g *Gatherer) GiveUp(shard int, r verdict.Reason) {
	s := &g.slots[shard]
	if !s.merged && s.reason == "" {
		s.reason = r
	}
}

// Merged returns how many shards were merged.
func (g *Gatherer) Merged() int { return g.merged }

// IsMerged reports whether the shard was merged.
func (g *Gatherer) IsMerged(shard int) bool { return g.slots[shard].merged }

// Reason returns why the shard's last attempt failed, empty if none did.
func (g *Gatherer) Reason(shard int) verdict.Reason { return g.slots[shard].reason }

// Close makes every later sub-answer count as late.
func (g *Gatherer) Close() { g.closed = true }

// Verdict returns the verdict over all shards of the plan.
func (g *Gatherer) Verdict() verdict.Verdict {
	parts := make([]verdict.Verdict, len(g.slots))
	for i := range g.slots {
		parts[i] = g.slots[i].finalVerdict()
	}
	return verdict.Combine(parts...)
}

// finalVerdict is NotRun only if every attempt was answered so.
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

// Coverage returns which shards were merged and why the others were not.
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

// Results returns the merged results in the order of the shard map.
func (g *Gatherer) Results() []Result {
	out := make([]Result, 0, g.merged)
	for i := range g.slots {
		if g.slots[i].merged {
			out = append(out, Result{Shard: g.shards[i].ID, Service: g.shards[i].Service, Body: g.slots[i].body})
		}
	}
	return out
}
