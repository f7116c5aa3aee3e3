package bytebudget

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"github.com/uber-go/tally/v4"
)

const limit = 1 << 20

// transfer returns an exposed account of the given age and priority that holds n bytes,
// and whether it was shed.
func transfer(t *testing.T, b *Budget, age time.Duration, priority, n int) (*Account, *bool) {
	t.Helper()
	ended := false
	a := b.NewAccount(func() { ended = true })
	a.Begin(time.Now().Add(-age), priority, true)
	require.True(t, a.Take(n))
	return a, &ended
}

// TestSlowestTransferIsShedAtLimit guards against a slow reader that keeps all others from
// being served.
func TestSlowestTransferIsShedAtLimit(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	b := New(Options{Limit: limit, Scope: scope})
	slow, slowEnded := transfer(t, b, 9*time.Second, 0, limit/2)
	_, recentEnded := transfer(t, b, time.Second, 5, limit/2)
	quick, _ := transfer(t, b, 0, 5, 0)
	require.True(t, quick.Take(100))
	require.True(t, *slowEnded)
	require.False(t, *recentEnded)
	require.False(t, slow.Take(1), "a transfer that was shed gets no more")
	require.EqualValues(t, limit/2+100, b.Held())
	slow.End()
	require.EqualValues(t, limit/2+100, b.Held(), "its bytes are given back once")
	require.EqualValues(t, limit/2, scope.Snapshot().Counters()["bytes_refused+reason=shed"].Value())
}

// TestLeastUrgentOfEquallySlowTransfersIsShed guards against a burst that ends urgent work
// for the sake of less urgent work.
func TestLeastUrgentOfEquallySlowTransfersIsShed(t *testing.T) {
	b := New(Options{Limit: limit})
	_, urgentEnded := transfer(t, b, time.Second, 0, limit/2)
	_, otherEnded := transfer(t, b, time.Second, 3, limit/2)
	quick, _ := transfer(t, b, 0, 1, 0)
	require.True(t, quick.Take(limit/4))
	require.True(t, *otherEnded)
	require.False(t, *urgentEnded)
}

// TestSlowestTransferItselfIsRefused covers a transfer that is slower than all others, and
// others that hold too little or must not be ended.
func TestSlowestTransferItselfIsRefused(t *testing.T) {
	b := New(Options{Limit: limit})
	slow, _ := transfer(t, b, time.Minute, 0, limit-largeBytes)
	small, smallEnded := transfer(t, b, time.Hour, 0, largeBytes-1)
	require.False(t, slow.Take(largeBytes))
	require.False(t, *smallEnded)
	small.End()
	hidden := b.NewAccount(func() { t.Fatal("a transfer that is not exposed was shed") })
	hidden.Begin(time.Now().Add(-time.Hour), 9, false)
	require.True(t, hidden.Take(largeBytes))
	require.False(t, slow.Take(1))
	slow.End()
	hidden.End()
	require.Zero(t, b.Held())
}

// TestHeldBytesAreCountedBeyondLimit covers replies that wait for others of their request:
// they are held anyway, and new transfers must see it.
func TestHeldBytesAreCountedBeyondLimit(t *testing.T) {
	b := New(Options{Limit: limit})
	b.Hold(2 * limit)
	a := b.NewAccount(func() {})
	a.Begin(time.Now(), 0, true)
	require.False(t, a.Take(1))
	a.Force(10)
	require.EqualValues(t, 2*limit+10, b.Held())
	b.Release(2 * limit)
	require.True(t, a.Take(1))
	a.End()
	require.Zero(t, b.Held())
}

// TestWithoutLimitNothingIsCounted covers settings without a memory limit.
func TestWithoutLimitNothingIsCounted(t *testing.T) {
	b := New(Options{})
	require.Nil(t, b)
	a := b.NewAccount(nil)
	a.Begin(time.Now(), 0, true)
	require.True(t, a.Take(1<<40))
	a.End()
	b.Hold(1)
	b.Refused(ReasonReplyTooLarge, 1)
	require.Zero(t, b.Held())
	require.Zero(t, b.Limit())
}
