package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/domain/exchange"
	"github.com/swiftvane/swiftvane/internal/targets/targetpool"
)

// wait is after which time a group whose targets take no request may have one that does.
type wait struct {
	left   time.Duration
	reason exchange.Reason
}

// waitFor returns the wait for the allowed targets of a group: until the first pause ends that its targets have
// asked for, or until this host has the next permit for a target that is cold or limits its
// rate, whichever is sooner. It is zero if neither is the reason that they take no request.
func waitFor(g *targetpool.Group, now time.Time, allowed func(*catalog.Target) bool) wait {
	pause, permit := g.PauseLeft(now, allowed), g.NextPermit(now, allowed)
	switch {
	case permit.Left > 0 && (pause <= 0 || permit.Left < pause):
		return wait{left: permit.Left, reason: reasonOf(permit)}
	case pause > 0:
		return wait{left: pause, reason: exchange.TargetsPaused}
	default:
		return wait{}
	}
}

// reasonOf returns why requests wait for a permit.
func reasonOf(p targetpool.Permit) exchange.Reason {
	if p.Limited {
		return exchange.TargetsLimited
	}
	return exchange.TargetsWarming
}

// sortWaits orders waits by their time.
func sortWaits(waits []wait) {
	slices.SortFunc(waits, func(a, b wait) int { return cmp.Compare(a.left, b.left) })
}
