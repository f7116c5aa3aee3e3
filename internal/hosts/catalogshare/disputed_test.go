package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// TestHostThatLinksDuringDisputeLearnsIt guards against a host that starts shortly after
// a restore of the store and keeps what its reader only keeps for a while.
func TestHostThatLinksDuringDisputeLearnsIt(t *testing.T) {
	hub, addr, _ := serve(t)
	batch := newBatch(7, "kept")
	batch.Full, batch.DisputedFor = true, time.Minute
	batch.Disputed = []catalogsync.Change{{Key: "kept", Revision: 7, Deleted: true}}
	hub.Publish(batch)
	source, store := newSource(addr)
	got, err := source.Read(catalog.Position{})
	require.NoError(t, err)
	require.Empty(t, store.calls)
	require.Equal(t, batch.Disputed, got.Disputed)
	require.Greater(t, got.DisputedFor, time.Second)
	require.LessOrEqual(t, got.DisputedFor, time.Minute)
	batch.DisputedFor = 0
	hub.Publish(batch)
	got, err = source.Read(catalog.Position{})
	require.NoError(t, err)
	require.Empty(t, got.Disputed)
}
