package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
)

// keysOf returns the keys of a batch.
func keysOf(b catalogsync.Batch) []string {
	var keys []string
	for _, c := range b.Changes {
		keys = append(keys, c.Key)
	}
	return keys
}

// TestStartingHostGetsNoEntryInDoubt guards against a host that starts shortly after the
// store came back from an older copy and uses a target of it that has left.
func TestStartingHostGetsNoEntryInDoubt(t *testing.T) {
	hub, addr, _ := serve(t)
	first := newBatch(7, "left", "stays", "returned")
	first.Full = true
	hub.Publish(first)
	hub.Doubt(catalogsync.Doubt{Withheld: []string{"left", "returned"}, Until: time.Now().Add(time.Hour)})
	hub.Publish(newBatch(8, "returned"))
	source, _ := newSource(addr)
	batch, err := source.Read(catalog.Position{})
	require.NoError(t, err)
	require.ElementsMatch(t, []string{"stays", "returned"}, keysOf(batch))

	hub.Doubt(catalogsync.Doubt{Released: []string{"left", "deleted"}})
	require.Eventually(t, func() bool {
		batch, err = source.Watch(at(8), time.Second)
		require.NoError(t, err)
		return len(batch.Changes) > 0
	}, eventuallyTimeout, time.Millisecond)
	require.Equal(t, []string{"left"}, keysOf(batch))
	later, _ := newSource(addr)
	batch, err = later.Read(catalog.Position{})
	require.NoError(t, err)
	require.Len(t, batch.Changes, 3)
}
