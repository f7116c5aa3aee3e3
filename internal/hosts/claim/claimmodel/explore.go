package claimmodel

import (
	"fmt"
	"strings"
)

// Result is the result of an exploration.
type Result struct {
	States int
	// Violation describes the violated invariant; empty if there was none.
	Violation string
	// Trace is the shortest sequence of events that leads to the violation.
	Trace []string
}

// String returns the number of states and, if there is one, the violation with its
// trace.
func (r *Result) String() string {
	if r.Violation == "" {
		return fmt.Sprintf("%d states, no violation", r.States)
	}
	return fmt.Sprintf("%s after %d states:\n  %s", r.Violation, r.States, strings.Join(r.Trace, "\n  "))
}

// step records the predecessor and the event by which a state was first reached.
type step struct {
	from  int
	event event
}

// Explore visits the reachable states in breadth-first order until one violates an
// invariant. It returns an error if there are more than Scenario.MaxStates states.
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
				// Checked at every state, because the whole frontier is in memory.
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

// trace returns the events that lead to the last step.
func trace(s *Scenario, steps []step) []string {
	var events []string
	for i := len(steps) - 1; i > 0; i = steps[i].from {
		events = append([]string{steps[i].event.describe(s)}, events...)
	}
	return events
}
