package rules

import (
	"slices"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// List is a host list reduced to the fields that the claim protocol uses.
type List struct {
	Revision model.Revision `cbor:"1,keyasint"`
	Hosts    []model.HostID `cbor:"2,keyasint"`
	// SupersededAgo is the time in milliseconds since the sender first received a
	// newer list; zero for the newest.
	SupersededAgo Time `cbor:"3,keyasint,omitempty"`
}

// SharedHistory is the encoded form of a History that hosts send to each other.
type SharedHistory struct {
	Lists []List `cbor:"1,keyasint"`
	// Complete reports that Lists includes every list that any host may still use.
	Complete bool `cbor:"2,keyasint,omitempty"`
}

// listEntry is a host list in a History.
type listEntry struct {
	revision model.Revision
	hosts    *HostSet
	// supersededAt is when this process received a newer list; zero for the newest.
	supersededAt Time
}

// History holds the host lists that any host may still use. It is not safe for
// concurrent use.
type History struct {
	limits Limits
	// since is when this process started to follow the host list, or resumed after
	// a pause.
	since    Time
	complete bool
	// confirmedAt is when the newest list was last confirmed to be the newest.
	confirmedAt Time
	lists       []listEntry
}

// NewHistory returns an empty history of a process that started at now.
func NewHistory(limits Limits, now Time) *History {
	return &History{limits: limits, since: now}
}

// MarkIncomplete marks the history as incomplete after this process has not run
// for a while: lists may have been published and superseded in between.
func (h *History) MarkIncomplete(now Time) {
	h.since = now
	h.complete = false
}

// Confirm records that at time at the platform reported the newest list held, or
// an older one, as its newest. If more than a list lease has passed since the last
// confirmation, the history becomes incomplete: lists may have been published and
// superseded in between.
func (h *History) Confirm(at, now Time) {
	if at <= h.confirmedAt {
		return
	}
	if h.confirmedAt != 0 && at > h.confirmedAt.Add(h.limits.ListLease) {
		h.MarkIncomplete(now)
	}
	h.confirmedAt = at
}

// Confirmed reports whether the newest list was confirmed within the list lease.
func (h *History) Confirmed(now Time) bool {
	return len(h.lists) > 0 && h.confirmedAt.Add(h.limits.ListLease) > now
}

// Status returns the state of the host lists that a vote at time now is based on.
func (h *History) Status(now Time) ListStatus {
	return ListStatus{Revisions: h.Revisions(), Complete: h.Complete(now), Confirmed: h.Confirmed(now)}
}

// Newest returns the newest revision held, zero if none is.
func (h *History) Newest() model.Revision {
	if len(h.lists) == 0 {
		return 0
	}
	return h.lists[len(h.lists)-1].revision
}

// ConfirmedAt returns when the newest list was last confirmed.
func (h *History) ConfirmedAt() Time { return h.confirmedAt }

// Has reports whether the list is held.
func (h *History) Has(revision model.Revision) bool {
	for i := range h.lists {
		if h.lists[i].revision == revision {
			return true
		}
	}
	return false
}

// AddList adds a published list. It reports false if the list is already held.
func (h *History) AddList(revision model.Revision, hosts []model.HostID, now Time) bool {
	if h.Has(revision) {
		return false
	}
	return h.insert(listEntry{revision: revision, hosts: NewHostSet(hosts), supersededAt: now}, now)
}

// Merge adds the history of another host.
func (h *History) Merge(shared *SharedHistory, now Time) {
	for i := range shared.Lists {
		l := &shared.Lists[i]
		h.insert(listEntry{revision: l.Revision, hosts: NewHostSet(l.Hosts), supersededAt: now - l.SupersededAgo}, now)
	}
	h.complete = h.complete || shared.Complete
}

// insert adds l, keeping the lists in ascending order of revision and the
// supersededAt of the newest at zero. It reports false if the list is already
// held.
func (h *History) insert(l listEntry, now Time) bool {
	at, found := slices.BinarySearchFunc(h.lists, l.revision, func(e listEntry, r model.Revision) int {
		return int(min(max(int64(e.revision)-int64(r), -1), 1))
	})
	if found {
		// The sender may use the list until its own supersededAt expires, so the
		// later time is kept.
		if existing := &h.lists[at]; at < len(h.lists)-1 {
			existing.supersededAt = max(existing.supersededAt, l.supersededAt)
		}
		return false
	}
	if at == len(h.lists) {
		l.supersededAt = 0
		if at > 0 {
			h.lists[at-1].supersededAt = now
		}
	}
	h.lists = slices.Insert(h.lists, at, l)
	return true
}

// Prune drops lists that were superseded longer than the list window ago.
func (h *History) Prune(now Time) {
	h.lists = slices.DeleteFunc(h.lists, func(l listEntry) bool {
		return l.supersededAt != 0 && l.supersededAt.Add(h.limits.ListWindow()) <= now
	})
}

// Complete reports whether the history includes every list that any host may still
// use.
func (h *History) Complete(now Time) bool {
	return len(h.lists) > 0 && (h.complete || h.since.Add(h.limits.HistoryWait) <= now)
}

// Revisions returns the revisions held, in ascending order.
func (h *History) Revisions() []model.Revision {
	revisions := make([]model.Revision, len(h.lists))
	for i := range h.lists {
		revisions[i] = h.lists[i].revision
	}
	return revisions
}

// Hosts returns the hosts of each list held, in ascending order of revision.
func (h *History) Hosts() []*HostSet {
	hosts := make([]*HostSet, len(h.lists))
	for i := range h.lists {
		hosts[i] = h.lists[i].hosts
	}
	return hosts
}

// Share returns the history in the form sent to other hosts.
func (h *History) Share(now Time) *SharedHistory {
	shared := &SharedHistory{Complete: h.Complete(now), Lists: make([]List, len(h.lists))}
	for i, l := range h.lists {
		shared.Lists[i] = List{Revision: l.revision, Hosts: l.hosts.hosts}
		if l.supersededAt != 0 {
			shared.Lists[i].SupersededAgo = now - l.supersededAt
		}
	}
	return shared
}
