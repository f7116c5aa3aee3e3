package quarantine

import (
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// maxNotes bounds the notes kept of one request; two are enough to quarantine it.
const maxNotes = 8

// Record is what a host knows of one request. Two records of a request merge to
// the same one whatever the order, so that late and repeated notes do no harm.
type Record struct {
	Fingerprint Fingerprint        `cbor:"1,keyasint"`
	Caller      model.CallerID     `cbor:"2,keyasint"`
	Workload    model.WorkloadName `cbor:"3,keyasint"`
	// Notes are ordered by time.
	Notes []Note `cbor:"4,keyasint,omitempty"`
	// ReleasedMS is when an operator last released the request, in Unix
	// milliseconds; notes up to it are void.
	ReleasedMS int64 `cbor:"5,keyasint,omitempty"`
	// ClearedMS is when a run began that later succeeded, by shard, in Unix
	// milliseconds; notes of the shard up to it are void.
	ClearedMS map[model.ShardID]int64 `cbor:"6,keyasint,omitempty"`
}

// merge takes over what other knows. It reports whether anything was new.
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

// add keeps a note unless it is known. Of more than maxNotes the oldest go.
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

// counted returns the notes that are neither released nor cleared, in order of
// time.
func (r *Record) counted() []Note {
	var notes []Note
	void := int64(0)
	if r.ReleasedMS > 0 {
		void = r.ReleasedMS + clockMarginMS
	}
	for _, n := range r.Notes {
		if n.AtMS > void && n.AtMS > r.ClearedMS[n.Shard] {
			notes = append(notes, n)
		}
	}
	return notes
}

// suspectIn reports whether a crash counts against the request on one shard.
func (r *Record) suspectIn(shard model.ShardID, nowMS int64) bool {
	for _, n := range r.counted() {
		if n.Shard == shard && nowMS < n.AtMS+suspicionMS {
			return true
		}
	}
	return false
}

// state judges the record at a time in Unix milliseconds, and tells until when
// the state lasts.
func (r *Record) state(nowMS int64) (State, int64) {
	notes := r.counted()
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

// lastMS is the newest time in the record.
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
