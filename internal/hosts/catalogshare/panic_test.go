package catalogshare

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/catalog"
	"github.com/swiftvane/swiftvane/internal/hosts/catalogsync"
	"github.com/swiftvane/swiftvane/internal/support/panics"
)

// panickingStore is a store whose client has a fault: it panics at each reply.
type panickingStore struct{}

func (panickingStore) Read(catalog.Position) (catalogsync.Batch, error) { panic("index out of range") }

func (panickingStore) Watch(catalog.Position, time.Duration) (catalogsync.Batch, error) {
	panic("index out of range")
}

// TestPanicOfDecoderIsAnError guards against one entry or reply of the store that ends the process.
func TestPanicOfDecoderIsAnError(t *testing.T) {
	source, _ := newSource()
	source.opts.Store = panickingStore{}
	_, err := source.readStore(catalog.Position{})
	require.True(t, panics.Is(err), "%v", err)
	_, err = source.watchStore(catalog.Position{}, time.Second)
	require.True(t, panics.Is(err), "%v", err)
	source.opts.Decode = func(string, []byte, int64, bool) catalogsync.Change { panic("index out of range") }
	batch := source.batchOf(&message{Entries: []entry{{Key: "a", Revision: 7}}})
	require.Len(t, batch.Changes, 1)
	require.Equal(t, "a", batch.Changes[0].Key)
	require.True(t, panics.Is(batch.Changes[0].Err))
}
