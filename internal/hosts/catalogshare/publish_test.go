package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestKnownFullBatchOfOtherHostIsNotPassedOn guards against two hosts that follow each
// other and send one full message to and fro, by which neither notices that its data is
// stale.
func TestKnownFullBatchOfOtherHostIsNotPassedOn(t *testing.T) {
	hub, _, _ := serve(t)
	batch := newBatch(7, "a")
	batch.Full = true
	hub.Publish(batch)
	f := &follower{out: make(chan []byte, outboxCapacity)}
	hub.mu.Lock()
	hub.followers[f] = true
	hub.mu.Unlock()
	full := func() bool {
		for {
			select {
			case raw := <-f.out:
				if m, err := decode(raw); err == nil && m.Full {
					return true
				}
			case <-time.After(10 * time.Millisecond):
				return false
			}
		}
	}
	hub.Publish(batch)
	require.False(t, full())
	batch.Position = at(8)
	hub.Publish(batch)
	require.True(t, full())
	batch.Direct = true
	hub.Publish(batch)
	require.True(t, full(), "the store's own answer is passed on")
}
