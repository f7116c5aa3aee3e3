package peer

import (
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/stretchr/testify/require"
)

// TestCallToSelfWithPassedDeadlineEndsOnce guards, with the race detector, against a timer
// that fires while the call is being set up.
func TestCallToSelfWithPassedDeadlineEndsOnce(t *testing.T) {
	m, _ := startMesh(t, "h0", newAddressTable(), nil, map[Kind]Handler{KindClaim: func(*Inbound) {}})
	for range 500 {
		ended := make(chan error, 2)
		cancel := m.callSelf(KindClaim, nil, time.Now(), func(_ cbor.RawMessage, err error) { ended <- err })
		require.Error(t, <-ended)
		cancel()
		require.Empty(t, ended)
	}
}
