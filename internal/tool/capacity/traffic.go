package capacity

import (
	"strings"

	"github.com/uber-go/tally/v4"
)

// traffic counts the bytes and messages on a host's links, sent and received.
type traffic struct{ bytes, messages int64 }

// linkTraffic returns the traffic recorded by the peer counters of scope.
func linkTraffic(scope tally.TestScope) traffic {
	var t traffic
	for _, counter := range scope.Snapshot().Counters() {
		switch name := counter.Name(); {
		case strings.HasSuffix(name, "bytes_sent"), strings.HasSuffix(name, "bytes_received"):
			t.bytes += counter.Value()
		case strings.HasSuffix(name, "messages_sent"), strings.HasSuffix(name, "messages_received"):
			t.messages += counter.Value()
		}
	}
	return t
}
