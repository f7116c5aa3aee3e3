package rules

import (
	"maps"
	"slices"
	"strconv"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// The methods in this file copy and encode states for exhaustive exploration by
// package claimmodel.

// Clone returns a copy that shares no mutable state.
func (w *Witness) Clone() *Witness {
	c := *w
	c.entries = make(map[string]*entry, len(w.entries))
	for id, e := range w.entries {
		copied := *e
		copied.released = maps.Clone(e.released)
		c.entries[id] = &copied
	}
	c.expiries.slots = make(map[Time][]string, len(w.expiries.slots))
	for slot, ids := range w.expiries.slots {
		c.expiries.slots[slot] = slices.Clone(ids)
	}
	return &c
}

// AppendState appends an encoding that is equal for equal states.
func (w *Witness) AppendState(b []byte) []byte {
	b = strconv.AppendInt(b, int64(w.started), 36)
	for _, id := range slices.Sorted(maps.Keys(w.entries)) {
		e := w.entries[id]
		b = append(append(b, '/'), id...)
		b = strconv.AppendBool(b, e.held)
		b = appendAttempt(b, e.holder)
		b = append(b, e.outcome...)
		for _, p := range slices.SortedFunc(maps.Keys(e.released), compareProcesses) {
			b = appendAttempt(b, Attempt{Host: p.host, Incarnation: p.incarnation, Seq: e.released[p]})
		}
	}
	for _, slot := range slices.Sorted(maps.Keys(w.expiries.slots)) {
		b = strconv.AppendInt(append(b, '@'), int64(slot), 36)
	}
	return b
}

// Clone returns a copy that shares no mutable state.
func (h *History) Clone() *History {
	c := *h
	c.lists = slices.Clone(h.lists)
	return &c
}

// AppendState appends an encoding that is equal for equal states.
func (h *History) AppendState(b []byte) []byte {
	b = strconv.AppendInt(b, int64(h.since), 36)
	b = strconv.AppendBool(b, h.complete)
	b = strconv.AppendInt(b, int64(h.confirmedAt), 36)
	for _, l := range h.lists {
		b = strconv.AppendUint(append(b, 'r'), uint64(l.revision), 36)
		b = strconv.AppendInt(append(b, ':'), int64(l.supersededAt), 36)
	}
	return b
}

// Clone returns a copy that shares no mutable state.
func (t *Tally) Clone() *Tally {
	c := *t
	c.votes = maps.Clone(t.votes)
	return &c
}

// AppendState appends an encoding that is equal for equal states.
func (t *Tally) AppendState(b []byte) []byte {
	b = strconv.AppendBool(b, t.complete)
	b = strconv.AppendBool(b, t.abandoned)
	b = append(b, t.outcome...)
	for _, host := range slices.Sorted(maps.Keys(t.votes)) {
		b = append(append(b, '/'), host...)
		b = strconv.AppendUint(b, uint64(t.votes[host]), 36)
	}
	return b
}

func appendAttempt(b []byte, a Attempt) []byte {
	b = append(append(b, '<'), a.Host...)
	b = strconv.AppendInt(append(b, ':'), int64(a.Incarnation), 36)
	return strconv.AppendUint(append(b, ':'), a.Seq, 36)
}

func compareProcesses(a, b process) int {
	if a.host != b.host {
		return compareHosts(a.host, b.host)
	}
	return int(a.incarnation - b.incarnation)
}

func compareHosts(a, b model.HostID) int {
	if a < b {
		return -1
	}
	return 1
}
