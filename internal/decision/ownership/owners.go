package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// Build returns the owner and standby of each target. Only live hosts are
// candidates: those of the target's region or, if it has none, those of all
// regions. The standby is in another failure domain than the owner if the
// candidates span more than one.
func Build(hosts []model.Host, targets map[model.TargetID]*model.Target) map[model.TargetID]view.Owners {
	all, byRegion := candidatesOf(hosts)
	owners := make(map[model.TargetID]view.Owners, len(targets))
	for id, target := range targets {
		candidates := byRegion[target.Region]
		if len(candidates) == 0 {
			candidates = all
		}
		owners[id] = choose(candidates, xxhash.Sum64String(string(id)))
	}
	return owners
}

// candidate is a live host with the hash of its id.
type candidate struct {
	id     model.HostID
	domain model.FailureDomain
	hash   uint64
}

func candidatesOf(hosts []model.Host) (all []candidate, byRegion map[model.Region][]candidate) {
	byRegion = make(map[model.Region][]candidate)
	for i := range hosts {
		h := &hosts[i]
		if h.State != model.Live {
			continue
		}
		c := candidate{id: h.ID, domain: h.FailureDomain, hash: xxhash.Sum64String(string(h.ID))}
		all = append(all, c)
		byRegion[h.Region] = append(byRegion[h.Region], c)
	}
	return all, byRegion
}

// choose returns the best candidate as owner. The standby is the best candidate of
// another failure domain or, if there is no other domain, the second best.
func choose(candidates []candidate, key uint64) view.Owners {
	var owner, second, standby *candidate
	var ownerScore, secondScore, standbyScore uint64
	for i := range candidates {
		c := &candidates[i]
		score := mix(c.hash, key)
		if better(c, score, owner, ownerScore) {
			if owner != nil && owner.domain != c.domain {
				standby, standbyScore = owner, ownerScore
			} else if standby != nil && standby.domain == c.domain {
				standby = nil
			}
			second, secondScore = owner, ownerScore
			owner, ownerScore = c, score
			continue
		}
		if better(c, score, second, secondScore) {
			second, secondScore = c, score
		}
		if c.domain != owner.domain && better(c, score, standby, standbyScore) {
			standby, standbyScore = c, score
		}
	}
	if standby == nil {
		standby = second
	}
	var o view.Owners
	if owner != nil {
		o.Owner = owner.id
	}
	if standby != nil {
		o.Standby = standby.id
	}
	return o
}

// better reports whether c ranks above than. Equal scores are ordered by host id.
func better(c *candidate, score uint64, than *candidate, thanScore uint64) bool {
	if than == nil || score > thanScore {
		return true
	}
	return score == thanScore && c.id < than.id
}
