package fleet

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// maxMarks limits the marks that a host stores.
const maxMarks = 1 << 16

// markKey identifies the subject of a mark.
type markKey struct {
	kind markKind
	id   string
}

// marks is the control goroutine's table of targets and hosts that are leaving
// or serve again.
type marks struct {
	hold      time.Duration
	retention time.Duration
	table     map[markKey]mark
}

func newMarks(hold, retention time.Duration) *marks {
	return &marks{hold: hold, retention: retention, table: make(map[markKey]mark)}
}

// set records a mark from this host. It returns the mark to send to peers, and
// false if it changes nothing or the table is full.
func (m *marks) set(kind markKind, id string, leaving bool, list model.Revision, now time.Time) (mark, bool) {
	old, ok := m.table[markKey{kind, id}]
	if ok && leaving && m.effective(&old, list, now) {
		return old, false
	}
	next := mark{ID: id, Kind: kind, Seq: old.Seq + 1, Leaving: leaving, Revision: list, at: now}
	if !ok && len(m.table) >= maxMarks {
		return next, false
	}
	m.table[markKey{kind, id}] = next
	return next, true
}

// merge adds marks from a peer and returns those that changed the table.
func (m *marks) merge(from []mark, list model.Revision, now time.Time) []mark {
	var updated []mark
	for _, in := range from {
		in.at = now.Add(-in.Age)
		in.Age = 0
		key := markKey{in.Kind, in.ID}
		old, ok := m.table[key]
		replaces := in.Seq > old.Seq || in.Seq == old.Seq && in.Leaving && !old.Leaving
		if !m.relevant(&in, list, now) || ok && !replaces || !ok && len(m.table) >= maxMarks {
			continue
		}
		m.table[key] = in
		updated = append(updated, in)
	}
	return updated
}

// effective reports whether k keeps its target or host out of use. A leaving mark
// is effective until a serving mark replaces it, or until a host list newer than
// the mark's is in force and the hold has passed.
func (m *marks) effective(k *mark, list model.Revision, now time.Time) bool {
	return k.Leaving && (list <= k.Revision || now.Sub(k.at) < m.hold)
}

// relevant reports whether k must be kept: while it is effective, and for the
// retention time after it was set.
func (m *marks) relevant(k *mark, list model.Revision, now time.Time) bool {
	return m.effective(k, list, now) || now.Sub(k.at) < m.retention
}

// expire removes marks that are no longer relevant.
func (m *marks) expire(list model.Revision, now time.Time) {
	for key, k := range m.table {
		if !m.relevant(&k, list, now) {
			delete(m.table, key)
		}
	}
}

// wireMarks returns a copy of list with the ages of the marks at now.
func wireMarks(list []mark, now time.Time) []mark {
	out := make([]mark, len(list))
	for i, k := range list {
		k.Age = now.Sub(k.at)
		out[i] = k
	}
	return out
}

// all returns all marks.
func (m *marks) all() []mark {
	list := make([]mark, 0, len(m.table))
	for _, k := range m.table {
		list = append(list, k)
	}
	return list
}

// hash returns a hash of the marks that does not depend on their order, so that
// hosts with the same marks have the same hash.
func (m *marks) hash() uint64 {
	var sum uint64
	for key, k := range m.table {
		var fixed [10]byte
		binary.BigEndian.PutUint64(fixed[:], k.Seq)
		fixed[8] = byte(key.kind)
		if k.Leaving {
			fixed[9] = 1
		}
		sum += xxhash.Sum64(append(fixed[:], key.id...))
	}
	return sum
}

// targets returns the targets that get no new work: those that a mark or the
// host list reports as leaving, except targets marked as serving while that list
// or a newer one was in force.
func (m *marks) targets(list *model.HostList, now time.Time) map[model.TargetID]struct{} {
	leaving := make(map[model.TargetID]struct{})
	var revision model.Revision
	if list != nil {
		revision = list.Revision
		for _, id := range list.LeavingTargets {
			k, ok := m.table[markKey{targetMark, string(id)}]
			if !ok || k.Leaving || k.Revision < revision {
				leaving[id] = struct{}{}
			}
		}
	}
	for key, k := range m.table {
		if key.kind == targetMark && m.effective(&k, revision, now) {
			leaving[model.TargetID(key.id)] = struct{}{}
		}
	}
	return leaving
}

// hosts returns the hosts that are leaving.
func (m *marks) hosts(list *model.HostList, now time.Time) map[model.HostID]struct{} {
	leaving := make(map[model.HostID]struct{})
	var revision model.Revision
	if list != nil {
		revision = list.Revision
		for _, h := range list.Hosts {
			if h.State == model.Leaving {
				leaving[h.ID] = struct{}{}
			}
		}
	}
	for key, k := range m.table {
		if key.kind == hostMark && m.effective(&k, revision, now) {
			leaving[model.HostID(key.id)] = struct{}{}
		}
	}
	return leaving
}
