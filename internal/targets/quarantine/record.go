package quarantine

import (
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// maxNotes bounds the notes kept for one request; two are enough to quarantine it.
const maxNotes = 8

// Record is a host's state for one request. Merging records is commutative and
// idempotent, so that late and repeated notes are harmless.
type Record struct {
	Fingerprint Fingerprint        `cbor:"1,keyasint"`
	Caller      model.CallerID     `cbor:"2,keyasint"`
	Workload    model.WorkloadName `cbor:"3,keyasint"`
	// Notes are ordered by time.
	Notes []Note `cbor:"4,keyasint,omitempty"`
	// ReleasedMS is when an operator last released the request, in Unix
	// milliseconds. Notes up to that time plus ClockMargin do not count.
	ReleasedMS int64 `cbor:"5,keyasint,omitempty"`
	// ClearedMS is the start of the latest successful run on each shard, in Unix
	// milliseconds. Notes of the shard up to that time do not count.
	ClearedMS map[model.ShardID]int64 `cbor:"6,keyasint,omitempty"`
}

// merge adds the state of other. It reports whether the record changed.
func (r *Record) merge(other *Record) bool {
	changed := false
	for _, note := range other.Notes {
		changed = r.add(note) || changed
	}
	if other.ReleasedMS > r.ReleasedMS {
		r.ReleasedMS = other.ReleasedMS
		changed = true
	}
	for shard, at := range other.ClearedMS {
		changed = r.clear(shard, at) || changed
	}
	return changed
}

// add adds a note unless it is present, and drops the oldest beyond maxNotes. It
// reports whether the note was added.
func (r *Record) add(note Note) bool {
	if slices.ContainsFunc(r.Notes, func(n Note) bool { return n.ID == note.ID }) {
		return false
	}
	if len(r.Notes) == maxNotes && note.AtMS <= r.Notes[0].AtMS {
		return false
	}
	notes := append(slices.Clone(r.Notes), note)
	slices.SortStableFunc(notes, func(a, b Note) int { return int(min(max(a.AtMS-b.AtMS, -1), 1)) })
	r.Notes = notes[max(0, len(notes)-maxNotes):]
	return true
}

// clear records a successful run on a shard that started at atMS. It reports
// whether the record changed.
func (r *Record) clear(shard model.ShardID, atMS int64) bool {
	if atMS <= r.ClearedMS[shard] {
		return false
	}
	cleared := make(map[model.ShardID]int64, len(r.ClearedMS)+1)
	for other, at := range r.ClearedMS {
		cleared[other] = at
	}
	cleared[shard] = atMS
	r.ClearedMS = cleared
	return true
}

// activeNotes returns the notes that are neither released nor cleared, ordered by
// time.
func (r *Record) activeNotes() []Note {
	var notes []Note
	releasedUntil := int64(0)
	if r.ReleasedMS > 0 {
		releasedUntil = r.ReleasedMS + clockMarginMS
	}
	for _, n := range r.Notes {
		if n.AtMS > releasedUntil && n.AtMS > r.ClearedMS[n.Shard] {
			notes = append(notes, n)
		}
	}
	return notes
}

// suspectOnShard reports whether the request has an active note of the shard that
// is younger than SuspicionTime.
func (r *Record) suspectOnShard(shard model.ShardID, nowMS int64) bool {
	for _, n := range r.activeNotes() {
		if n.Shard == shard && nowMS < n.AtMS+suspicionMS {
			return true
		}
	}
	return false
}

// state returns the state of the request at nowMS and the time at which that state
// expires, both in Unix milliseconds. The expiry of Clean is 0.
func (r *Record) state(nowMS int64) (State, int64) {
	notes := r.activeNotes()
	for i := len(notes) - 1; i > 0; i-- {
		until := notes[i].AtMS + quarantineMS
		if notes[i].AtMS-notes[i-1].AtMS <= suspicionMS && nowMS < until {
			return Quarantined, until
		}
	}
	if len(notes) > 0 {
		if until := notes[len(notes)-1].AtMS + suspicionMS; nowMS < until {
			return Suspect, until
		}
	}
	return Clean, 0
}

// lastMS returns the newest time in the record.
func (r *Record) lastMS() int64 {
	last := r.ReleasedMS
	for _, n := range r.Notes {
		last = max(last, n.AtMS)
	}
	for _, at := range r.ClearedMS {
		last = max(last, at)
	}
	return last
}
