package overload

import "time"

// shareTTL is how long the fleet's shares are used after their receipt.
const shareTTL = 1600 * time.Millisecond

// Share is what the fleet admits of one stream.
type Share struct {
	Entry
	// Limited is set while the fleet is overloaded. Otherwise the entry only asks hosts
	// for reports.
	Limited bool `cbor:"10,keyasint,omitempty"`
	// Fresh and Returning are the shares of first attempts and of attempts after a
	// refusal that are admitted.
	Fresh     float64 `cbor:"11,keyasint,omitempty"`
	Returning float64 `cbor:"12,keyasint,omitempty"`
}

// shares are the fleet's shares of a group as they were last received.
type shares struct {
	byStream map[Stream]Share
	byRank   map[int]Share
	at       time.Time
}

// SetShares sets the fleet's shares of this group, received at now.
func (g *Group) SetShares(now time.Time, list []Share) {
	next := shares{at: now, byStream: map[Stream]Share{}, byRank: map[int]Share{}}
	for _, s := range list {
		if !s.Limited {
			continue
		}
		next.byStream[s.Stream()] = s
		if known, ok := next.byRank[s.Rank]; !ok || s.Fresh < known.Fresh {
			next.byRank[s.Rank] = s
		}
	}
	g.fleet = next
}

// Asked reports whether the reader asks for this group's reports.
func (g *Group) Asked(now time.Time) bool { return now.Sub(g.fleet.at) < shareTTL }

// limited reports whether the fleet's shares limit the group.
func (s *shares) limited(now time.Time) bool {
	return len(s.byStream) > 0 && now.Sub(s.at) < shareTTL
}

// of returns the share of a stream, that of the least served stream of its rank if the
// fleet hasn't seen the stream yet.
func (s *shares) of(key Stream, now time.Time) (Share, bool) {
	if !s.limited(now) {
		return Share{}, false
	}
	share, ok := s.byStream[key]
	if !ok {
		share, ok = s.byRank[key.Rank]
	}
	return share, ok
}
