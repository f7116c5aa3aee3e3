package catalogshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/gathering"
	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
	"github.com/swiftvane/swiftvane/internal/domain/catalog"
)

// TestUnhealthyTargetIsReportedFromSamplesOfSeveralFollowers reports one bad
// exchange from each follower: no single host has enough of them to find the
// target unhealthy.
func TestUnhealthyTargetIsReportedFromSamplesOfSeveralFollowers(t *testing.T) {
	hub, addr, _ := serve(t)
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
	var sources []*Source
	var notifications []chan []string
	for range 4 {
		source, _ := newSource(addr)
		notified := make(chan []string, 100)
		source.opts.Hub.OnUnhealthyTargets(func(targets []string) { notified <- targets })
		_, err := source.Read(catalog.Position{})
		require.NoError(t, err)
		sources, notifications = append(sources, source), append(notifications, notified)
	}
	var healthy []targethealth.Sample
	for i := range 4 {
		healthy = append(healthy, targethealth.Sample{Target: fmt.Sprintf("well-%d", i), Good: 3})
	}
	for i, source := range sources {
		require.Eventually(t, func() bool {
			source.Report(append(healthy, targethealth.Sample{Target: "slow", Bad: 1}), nil)
			_, err := source.Watch(at(7), time.Second)
			require.NoError(t, err)
			return i < len(sources)-1 || len(notifications[i]) > 0
		}, eventuallyTimeout, time.Millisecond)
	}
	require.Equal(t, []string{"slow"}, <-notifications[len(notifications)-1])
}

// TestEndedLinkIsNoLongerRead guards against a data race: the hub ends links while
// followers still send on them, and new links reuse the read buffers, so a
// goroutine that still reads an ended link races with the new one. Only the race
// detector reports it. Found by the soak test with seeds 749 and 751.
func TestEndedLinkIsNoLongerRead(t *testing.T) {
	hub, addr, _ := serve(t)
	first := newBatch(7, "a")
	first.Full = true
	hub.Publish(first)
	log, _ := test.NewNullLogger()
	for range 100 {
		l, err := dial(addr, gathering.Member{FailureDomain: "z-1"}, false, log)
		require.NoError(t, err)
		<-l.messages
		go func() {
			for range 20 {
				l.send(&message{Samples: []targethealth.Sample{{Target: "t", Good: 1}}})
			}
			l.end()
		}()
		hub.mu.Lock()
		for f := range hub.followers {
			hub.remove(f)
		}
		hub.mu.Unlock()
	}
}
