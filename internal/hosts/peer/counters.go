package peer

import (
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/support/metrics"
)

// counters holds the counters of a mesh, so that they are looked up only once.
type counters struct {
	framesSent, framesReceived     tally.Counter
	messagesSent, messagesReceived tally.Counter
	bytesSent, bytesReceived       tally.Counter
	lateReplies                    tally.Counter
	repliesDropped                 tally.Counter
	dials, dialFailures            tally.Counter
	linksLost, silentLinks         tally.Counter
	scope                          metrics.Scope
}

func noopScope() metrics.Scope { return tally.NoopScope }

func newCounters(s metrics.Scope) *counters {
	s = s.SubScope("peer")
	return &counters{
		framesSent:       s.Counter("frames_sent"),
		framesReceived:   s.Counter("frames_received"),
		messagesSent:     s.Counter("messages_sent"),
		messagesReceived: s.Counter("messages_received"),
		bytesSent:        s.Counter("bytes_sent"),
		bytesReceived:    s.Counter("bytes_received"),
		lateReplies:      s.Counter("late_replies"),
		repliesDropped:   s.Counter("replies_dropped"),
		dials:            s.Counter("dials"),
		dialFailures:     s.Counter("dial_failures"),
		linksLost:        s.Counter("links_lost"),
		silentLinks:      s.Counter("links_silent"),
		scope:            s,
	}
}

// handshakeRefused counts a failed handshake under its cause.
func (c *counters) handshakeRefused(cause handshakeCause) {
	c.scope.Tagged(map[string]string{"reason": string(cause)}).Counter("handshake_refused").Inc(1)
}
