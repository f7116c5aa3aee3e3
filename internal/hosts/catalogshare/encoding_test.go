package catalogshare

import (
	"fmt"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// TestManyChangesAtOnceAreSentInFewBytes guards against a reader whose network link is
// full while it tells its followers of a new set of shards.
func TestManyChangesAtOnceAreSentInFewBytes(t *testing.T) {
	m := &message{Full: true, Revision: 7}
	for i := range 405 {
		m.Entries = append(m.Entries, entry{
			Key:   fmt.Sprintf("servers/i-%08x", i*2654435761),
			Value: fmt.Appendf(nil, `{"service":"shard-%d","address":"10.1.64.%d:8482","zone":"z-%d","concurrency":2,"state":"ready","born":17999%07d}`, i/3, i%250, i%4, i*7919),
		})
	}
	plain, err := cbor.Marshal(m)
	require.NoError(t, err)
	raw, err := encode(m)
	require.NoError(t, err)
	require.Less(t, 3*len(raw), len(plain))
	got, err := decode(raw)
	require.NoError(t, err)
	require.Equal(t, m, got)
}

func TestSmallMessageIsNotCompressedAndGarbageIsRejected(t *testing.T) {
	raw, err := encode(&message{Revision: 3, Hosts: 5})
	require.NoError(t, err)
	require.NotEqual(t, byte(compressedMark), raw[0])
	got, err := decode(raw)
	require.NoError(t, err)
	require.Equal(t, 5, got.Hosts)
	for _, garbage := range [][]byte{{}, {compressedMark}, {compressedMark, 0xff, 0xff}, {0xff}} {
		_, err := decode(garbage)
		require.Error(t, err)
	}
}
