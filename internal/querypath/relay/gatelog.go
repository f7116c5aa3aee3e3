package relay

import (
	"io"
	"time"

	"github.com/sirupsen/logrus"
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

// note sets the gauge of a group and logs its figures.
func (g *gate) note(group *gated, now time.Time) {
	group.mu.Lock()
	status := group.group.Status()
	before := group.limited
	group.limited = status.Limit > 0
	message := limitMessage(before, group.limited)
	group.mu.Unlock()
	g.scope.Tagged(map[string]string{"group": string(group.name)}).Gauge("overload_limit").Update(status.Limit)
	ok, omitted := g.lines.Take(message, now)
	if message == "" || !ok {
		return
	}
	g.log.WithFields(logrus.Fields{
		"group": group.name, "limit": status.Limit, "in_flight": status.InFlight, "lines_left_out": omitted,
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
