package fleet

import (
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/model"
)

// maxHistory limits the host lists that are kept.
const maxHistory = 256

// HostListRecord is a host list and the time when it came into force on this
// host, or on the peer that reported it.
type HostListRecord struct {
	List  *model.HostList
	Since time.Time
}

// History holds the host lists that were in force, oldest first. It is
// immutable.
type History struct {
	Records []HostListRecord
	// CompleteSince is the time from which no list is missing.
	CompleteSince time.Time
}

// withList returns the history with a newer list added, without the lists that
// were replaced longer than retention ago.
func (h *History) withList(list *model.HostList, now time.Time, retention time.Duration) *History {
	records := append(slices.Clone(h.Records), HostListRecord{List: list, Since: now})
	return (&History{Records: records, CompleteSince: h.CompleteSince}).trim(now, retention)
}

func (h *History) trim(now time.Time, retention time.Duration) *History {
	records, complete := h.Records, h.CompleteSince
	for len(records) > 1 && now.Sub(records[1].Since) > retention {
		records = records[1:]
	}
	for len(records) > maxHistory {
		complete = records[1].Since
		records = records[1:]
	}
	return &History{Records: records, CompleteSince: complete}
}

// withPeer returns the history merged with that of a peer.
func (h *History) withPeer(r *historyRecord, now time.Time, retention time.Duration) *History {
	known := make(map[model.Revision]bool)
	merged := &History{Records: slices.Clone(h.Records), CompleteSince: h.CompleteSince}
	for _, record := range h.Records {
		known[record.List.Revision] = true
	}
	for _, l := range r.Lists {
		if l.List != nil && !known[l.List.Revision] {
			merged.Records = append(merged.Records, HostListRecord{List: l.List, Since: now.Add(-l.Age)})
		}
	}
	if since := now.Add(-r.CompleteFor); since.Before(merged.CompleteSince) {
		merged.CompleteSince = since
	}
	slices.SortStableFunc(merged.Records, func(a, b HostListRecord) int {
		return int(int64(a.List.Revision) - int64(b.List.Revision))
	})
	return merged.trim(now, retention)
}

// record returns the encoding of the history for a peer.
func (h *History) record(now time.Time) *historyRecord {
	r := &historyRecord{CompleteFor: now.Sub(h.CompleteSince)}
	for _, e := range h.Records {
		r.Lists = append(r.Lists, listAge{List: e.List, Age: now.Sub(e.Since)})
	}
	return r
}
