package claimmodel

import (
	"fmt"
	"strings"
)

// Result is what an exploration found.
type Result struct {
	States int
	// Violation names the broken invariant; empty if none was.
	Violation string
	// Trace is the shortest way to the violation.
	Trace []string
}

// String returns the result in a few lines.
func (r *Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states, no violation", r.States)
	}
	return fmt.Sprintf("%s after %d states:\n  %s", r.Violation, r.States, strings.Join(r.Trace, "\n  "))
}

// step is how a state was first reached.
type step struct {
	from  int
	event event
}

// Explore visits every reachable state, nearest first, until one breaks an
// invariant. It fails if there are more than Scenario.MaxStates.
func Explore(s *Scenario) (*Result, error) {
	first := newWorld(s)
	frontier := []*world{first}
	ids := []int{0}
	steps := []step{{from: -1}}
	seen := map[uint64]struct{}{first.stateHash(): {}}
	for len(frontier) > 0 {
		var next []*world
		var nextIDs []int
		for at, w := range frontier {
			for _, e := range w.enabled() {
				n := w.apply(&e)
				key := n.stateHash()
				if _, ok := seen[key]; ok && n.violation == "" {
					continue
				}
				// Checked at every state: what waits is held in memory.
				if len(steps) > s.MaxStates {
					return nil, fmt.Errorf("claimmodel: %s: more than %d states", s.Name, s.MaxStates)
				}
				seen[key] = struct{}{}
				steps = append(steps, step{from: ids[at], event: e})
				if n.check(); n.violation != "" {
					return &Result{States: len(steps), Violation: n.violation, Trace: trace(s, steps)}, nil
				}
				next = append(next, n)
				nextIDs = append(nextIDs, len(steps)-1)
			}
		}
		frontier, ids = next, nextIDs
	}
	return &Result{States: len(steps)}, nil
}

// trace returns the events that led to the last step.
func trace(s *Scenario, steps []step) []string {
	var events []string
	for i := len(steps) - 1; i > 0; i = steps[i].from {
		events = append([]string{steps[i].event.describe(s)}, events...)
	}
	return events
}
