package ownership

import (
	"github.com/cespare/xxhash/v2"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/domain/view"
)

// Build returns the owner and standby of each target. Hosts that are not live
// own nothing. A target is owned within its region, or by any live host if its
// region has none. The standby is in another failure domain than the owner if
// the owner's candidates have one.
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

// candidate is a live host with its hash.
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

// choose returns the best candidate and the best one of another failure domain,
// or, where there is no other domain, the second best.
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

func better(c *candidate, score uint64, than *candidate, thanScore uint64) bool {
	if than == nil || score > thanScore {
		return true
	}
	return score == thanScore && c.id < than.id
}
