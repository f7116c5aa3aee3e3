package catalogshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/sirupsen/logrus/hooks/test"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/decision/targethealth"
)

// TestWhatSeveralFollowersSawIsToldToAll: no single host has seen enough of the
// target to judge it.
func TestWhatSeveralFollowersSawIsToldToAll(t *testing.T) {
	hub, addr, _ := serve(t)
	first := published(7, "a")
	first.Full = true
	hub.Publish(first)
	var sources []*Source
	var heard []chan []string
	for range 4 {
		source, _ := newSource(addr)
		told := make(chan []string, 100)
		source.opts.Hub.OnBad(func(targets []string) { told <- targets })
		_, err := source.Read()
		require.NoError(t, err)
		sources, heard = append(sources, source), append(heard, told)
	}
	var well []targethealth.Sample
	for i := range 4 {
		well = append(well, targethealth.Sample{Target: fmt.Sprintf("well-%d", i), Good: 3})
	}
	for i, source := range sources {
		require.Eventually(t, func() bool {
			source.Report(append(well, targethealth.Sample{Target: "slow", Bad: 1}))
			_, err := source.Watch(7, time.Second)
			require.NoError(t, err)
			return i < len(sources)-1 || len(heard[i]) > 0
		}, limit, time.Millisecond)
	}
	require.Equal(t, []string{"slow"}, <-heard[len(heard)-1])
}

// TestALinkThatTheHubEndsIsReadByNobodyAfterwards ends links while followers
// still send on them and opens new ones, which get the same read buffers: the
// race detector tells if anything of an ended link still reads. Found by the soak
// (seeds 749 and 751 under the race detector).
func TestALinkThatTheHubEndsIsReadByNobodyAfterwards(t *testing.T) {
	hub, addr, _ := serve(t)
	first := published(7, "a")
	first.Full = true
	hub.Publish(first)
	log, _ := test.NewNullLogger()
	for range 100 {
		l, err := dial(addr, "z-1", false, log)
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
