package peer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/verdict"
)

// TestCloseSendsQueuedRepliesAndMessages guards against answers and recorded outcomes that
// are lost since their host closes its links right after it has queued them.
func TestCloseSendsQueuedRepliesAndMessages(t *testing.T) {
	const count = 200
	addrs := newAddressTable()
	inbound := make(chan *Inbound, count)
	notes := make(chan struct{}, count)
	stopping, _ := startMesh(t, "h1", addrs, nil, map[Kind]Handler{KindSubquery: func(in *Inbound) { inbound <- in }})
	other, _ := startMesh(t, "h0", addrs, nil, map[Kind]Handler{KindOutcome: func(*Inbound) { notes <- struct{}{} }, KindClaim: echo})
	require.NoError(t, stopping.Call(t.Context(), "h0", KindClaim, &message{}, nil))
	errs := make(chan error, count)
	for range count {
		other.Go("h1", KindSubquery, &message{}, time.Now().Add(waitLimit), func(_ cbor.RawMessage, err error) { errs <- err })
	}
	refusal := verdict.Refuse(verdict.HostStopping, 0, "stopping")
	for range count {
		in := <-inbound
		in.Reply(refusal)
		require.NoError(t, stopping.Send("h0", KindOutcome, &message{}))
	}
	require.NoError(t, stopping.Close())
	for range count {
		require.Equal(t, refusal, <-errs)
	}
	require.Eventually(t, func() bool { return len(notes) == count }, waitLimit, time.Millisecond)
}
