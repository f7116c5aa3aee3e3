package relay

import (
	"io"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/swiftvane/swiftvane/internal/decision/overload"
)

// discardLog returns a logger that writes nothing.
func discardLog() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

// logDue reports whether a line about the group is due: when its limit begins or ends, and
// once a second in between. The caller holds the lock.
func (g *gated) logDue(limited bool, now time.Time) bool {
	if limited == g.limited && (!limited || now.Sub(g.logged) < limitLogInterval) {
		return false
	}
	g.logged = now
	return true
}

// note sets the gauges of a group and logs its figures.
func (g *gate) note(group *gated, now time.Time) {
	group.mu.Lock()
	status := group.group.Status(now)
	before := group.limited
	group.limited = status.Limited
	limits := group.limits(status)
	group.mu.Unlock()
	for rank, limit := range limits {
		tags := map[string]string{"group": string(group.name), "rank": strconv.Itoa(rank)}
		g.scope.Tagged(tags).Gauge("overload_limit").Update(limit)
	}
	message := limitMessage(before, status.Limited)
	ok, omitted := g.lines.Take(message, now)
	if message == "" || !ok {
		return
	}
	g.log.WithFields(logrus.Fields{
		"group": group.name, "limit_per_s": status.Limit, "offered_per_s": status.Offered, "completed_per_s": status.Completed,
		"in_time_per_s": status.InTime, "in_flight": status.InFlight, "fleet_shares": status.Fleet, "lines_left_out": omitted,
	}).Info(message)
}

// limitMessage returns the message of a line about a group that was or is limited.
func limitMessage(before, limited bool) string {
	switch {
	case limited && !before:
		return "admission to a group of targets is limited"
	case limited:
		return "admission to a group of targets is still limited"
	case before:
		return "admission to a group of targets is no longer limited"
	default:
		return ""
	}
}

// limits returns the values of the group's gauges by rank, 0 for no limit. The caller
// holds the lock.
func (g *gated) limits(status overload.Status) map[int]float64 {
	limits := map[int]float64{}
	for rank := range g.ranks {
		limits[rank] = 0
	}
	if !status.Limited {
		return limits
	}
	for rank, limit := range status.ByRank {
		g.ranks[rank] = true
		limits[rank] = limit
	}
	return limits
}
