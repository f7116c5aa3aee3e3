package claimmodel

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

const (
	requestID   = "x"
	otherID     = "y"
	fingerprint = 1
	// begin is the time at which the exploration starts. The initial processes
	// started at zero, long enough before it to vote on new ids.
	begin = rules.Time(100_000)
)

// eventCounts counts the events so far whose number the scenario bounds.
type eventCounts struct {
	crashes, pauses, duplicates, fills, jumps int
}

// world is one state of the model. It is copied for each event. Copies share
// processes and attempts, which are cloned before a change.
type world struct {
	s         *Scenario
	now       rules.Time
	published int
	processes []*process
	attempts  []*attempt
	messages  []message
	used      eventCounts
	runs      int
	// sentBeforeNotRun is the number of attempts that had been sent when NotRun was
	// last reported to the caller.
	sentBeforeNotRun int
	violation        string
}

func newWorld(s *Scenario) *world {
	w := &world{s: s, now: begin, processes: make([]*process, len(s.Hosts))}
	revision, hosts := s.list(0)
	for _, i := range s.Before {
		p := w.newProcess(0)
		p.witness = rules.NewWitness(s.limits(), s.Disabled, 0)
		p.history = rules.NewHistory(s.limits(), 0)
		p.history.AddList(revision, hosts, 0)
		p.history.Confirm(begin, begin)
		w.processes[i] = p
	}
	return w
}

func (w *world) newProcess(generation int) *process {
	return &process{
		generation: generation,
		witness:    rules.NewWitness(w.s.limits(), w.s.Disabled, w.now),
		history:    rules.NewHistory(w.s.limits(), w.now),
	}
}

func (w *world) clone() *world {
	c := *w
	c.processes = slices.Clone(w.processes)
	c.attempts = slices.Clone(w.attempts)
	c.messages = slices.Clone(w.messages)
	return &c
}

// process replaces a process by a copy and returns the copy, which the caller may
// change.
func (w *world) process(i int) *process {
	w.processes[i] = w.processes[i].clone()
	return w.processes[i]
}

// attempt replaces an attempt by a copy and returns the copy, which the caller may
// change.
func (w *world) attempt(i int) *attempt {
	w.attempts[i] = w.attempts[i].clone()
	return w.attempts[i]
}

// running reports whether a host has a process that is not paused.
func (w *world) running(i int) bool {
	p := w.processes[i]
	return p != nil && !p.paused
}

// alive reports whether the process that made an attempt is still running and not
// paused.
func (w *world) alive(a *attempt) bool {
	return w.running(a.host) && w.processes[a.host].generation == a.generation
}

func (w *world) index(host model.HostID) int { return slices.Index(w.s.Hosts, host) }

func (w *world) post(m message) { w.messages = append(w.messages, m) }

func (w *world) fail(violation string) {
	if w.violation == "" {
		w.violation = violation
	}
}

func (w *world) issuedAt() rules.Time { return begin.Add(w.s.Issued) }

// stateHash returns a hash that is equal for states with the same possible
// successors.
func (w *world) stateHash() uint64 {
	var buf [256]byte
	b := buf[:0]
	add := func(n uint64) { b = binary.LittleEndian.AppendUint64(b, n) }
	add(uint64(w.now))
	u := &w.used
	b = append(b, byte(w.published), byte(u.crashes), byte(u.pauses), byte(u.duplicates), byte(u.fills), byte(u.jumps), byte(w.runs), byte(w.sentBeforeNotRun))
	for _, p := range w.processes {
		if p == nil {
			add(0)
			continue
		}
		add(p.stateHash())
	}
	for _, a := range w.attempts {
		add(a.stateHash())
	}
	// The order of messages does not matter.
	var messages uint64
	for i := range w.messages {
		messages += w.messages[i].stateHash()
	}
	add(messages)
	return xxhash.Sum64(b)
}
