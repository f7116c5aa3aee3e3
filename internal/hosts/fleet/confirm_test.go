package fleet

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"

	"github.com/swiftvane/swiftvane/internal/domain/model"
	"github.com/swiftvane/swiftvane/internal/hosts/peer"
)

// TestHostListIsConfirmedThroughPeers: the lease of at-most-once claims depends
// on a recent confirmation of the host list. A host that does not read the
// platform itself must receive confirmations from its peers.
func TestHostListIsConfirmedThroughPeers(t *testing.T) {
	f := newTestFleet(t, 7, func(o *Options, _ *peer.Options) {
		o.WatchWait = 100 * time.Millisecond
		o.PollInterval = time.Hour
	})
	for range 3 {
		after := time.Now()
		f.eventually("confirmed again", func(m *member) bool { return m.fleet.ListConfirmedAt().After(after) })
	}
}

func TestPeerConfirmationOfDifferentHostListIsIgnored(t *testing.T) {
	f := &Fleet{opts: Options{Clock: time.Now}}
	c := &control{fleet: f, hosts: replica{version: version{Revision: 2, Digest: 5}}, peers: map[model.HostID]peerState{}}
	f.counters = newCounters(tally.NoopScope)
	for _, theirs := range []version{{Revision: 1, Digest: 5}, {Revision: 2, Digest: 6}, {Revision: 3, Digest: 5}} {
		c.recordPeerState("peer", &digestMessage{Hosts: theirs, ListConfirmedAgoMS: 1})
		require.True(t, f.ListConfirmedAt().IsZero(), "%v", theirs)
	}
	c.recordPeerState("peer", &digestMessage{Hosts: version{Revision: 2, Digest: 5}})
	require.True(t, f.ListConfirmedAt().IsZero(), "a peer that never read the platform confirms nothing")
	c.recordPeerState("peer", &digestMessage{Hosts: version{Revision: 2, Digest: 5}, ListConfirmedAgoMS: 1})
	require.False(t, f.ListConfirmedAt().IsZero())
}
