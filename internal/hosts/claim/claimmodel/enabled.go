package claimmodel

import (
	"bytes"
	"slices"

	"github.com/swiftvane/swiftvane/internal/hosts/claim/rules"
)

// enabled returns the events that may occur next.
func (w *world) enabled() []event {
	var events []event
	events = w.messageEvents(events)
	events = w.attemptEvents(events)
	events = w.listEvents(events)
	return w.faultEvents(events)
}

func (w *world) messageEvents(events []event) []event {
	for i := range w.messages {
		m := w.messages[i]
		if !w.deliverable(&m) {
			continue
		}
		events = append(events, event{kind: deliverEvent, message: m})
		if m.kind != voteMessage && w.used.duplicates < w.s.Duplicates {
			events = append(events, event{kind: duplicateEvent, message: m})
		}
	}
	return events
}

func (w *world) deliverable(m *message) bool {
	if m.kind == voteMessage {
		return w.alive(w.attempts[m.attempt])
	}
	return w.running(m.host)
}

func (w *world) attemptEvents(events []event) []event {
	if w.maySend() {
		events = append(events, event{kind: sendEvent, host: w.s.Entries[len(w.attempts)]})
	}
	for i, a := range w.attempts {
		if !w.alive(a) {
			continue
		}
		switch {
		case a.phase == ran:
			events = append(events, event{kind: answerEvent, host: i})
		case a.tally != nil && w.mayAct(a):
			events = append(events, event{kind: actEvent, host: i})
		}
		if a.phase == collecting {
			events = append(events, event{kind: abandonEvent, host: i})
		}
	}
	return events
}

// maySend reports whether the caller may send the request again. It may do so at
// any time, but with an id that a host generated only after that host has answered
// or abandoned the first attempt.
func (w *world) maySend() bool {
	sent := len(w.attempts)
	if sent == len(w.s.Entries) || !w.running(w.s.Entries[sent]) {
		return false
	}
	return !w.s.Minted || sent == 0 || w.attempts[0].phase == answered || w.attempts[0].phase == ended
}

// mayAct reports whether an attempt may send the request to a target. It does not
// exclude abandoned attempts; the tally decides for them.
func (w *world) mayAct(a *attempt) bool {
	return (a.phase == collecting || a.phase == ended) && a.tally.MayAct(w.now, a.deadline) && a.pauses == w.processes[a.host].pauses
}

func (w *world) listEvents(events []event) []event {
	if w.s.After == nil {
		return events
	}
	if w.published == 0 {
		events = append(events, event{kind: publishEvent})
	}
	for i := range w.processes {
		if !w.running(i) {
			continue
		}
		if !slices.Contains(w.s.Unaware, i) && w.changes(i, w.readList) {
			events = append(events, event{kind: readListEvent, host: i})
		}
		for j, from := range w.processes {
			if i == j || !slices.Contains(w.s.HistorySources, j) || !w.running(j) {
				continue
			}
			if w.changes(i, func(h *rules.History) { w.merge(h, from) }) {
				events = append(events, event{kind: mergeEvent, host: i, other: j})
			}
		}
	}
	return events
}

// changes reports whether f would change a host's history.
func (w *world) changes(i int, f func(*rules.History)) bool {
	var before, after [128]byte
	h := w.processes[i].history
	changed := h.Clone()
	f(changed)
	return !bytes.Equal(h.AppendState(before[:0]), changed.AppendState(after[:0]))
}

// readList adds the published host list to a history and confirms it.
func (w *world) readList(h *rules.History) {
	revision, hosts := w.s.list(w.published)
	h.AddList(revision, hosts, w.now)
	h.Confirm(w.now, w.now)
}

func (w *world) merge(h *rules.History, from *process) {
	h.Merge(from.history.Share(w.now), w.now)
}

func (w *world) faultEvents(events []event) []event {
	for i, p := range w.processes {
		switch {
		case p == nil:
			if w.mayStart(i) {
				events = append(events, event{kind: startEvent, host: i})
			}
			continue
		case p.paused:
			events = append(events, event{kind: resumeEvent, host: i})
		case w.used.pauses < w.s.Pauses && w.faulty(i):
			events = append(events, event{kind: pauseEvent, host: i})
		}
		if w.used.crashes < w.s.Crashes && w.faulty(i) {
			events = append(events, event{kind: crashEvent, host: i})
		}
		if w.used.fills < w.s.Fills && !p.paused {
			events = append(events, event{kind: fillEvent, host: i})
		}
	}
	if w.used.jumps < len(w.s.Jumps) {
		events = append(events, event{kind: jumpEvent})
	}
	return events
}

func (w *world) faulty(i int) bool { return w.s.Faulty == nil || slices.Contains(w.s.Faulty, i) }

// mayStart reports whether a host without a process may start: it must be in the
// published host list.
func (w *world) mayStart(i int) bool {
	members := w.s.Before
	if w.published == 1 {
		members = w.s.After
	}
	return slices.Contains(members, i)
}
