package wait

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// TestForEndsWithTheContext guards against waits that outlast the work that they belong to.
func TestForEndsWithTheContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		require.True(t, For(t.Context(), time.Second))
		require.Equal(t, time.Second, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		require.False(t, For(ctx, time.Minute))
		require.Equal(t, 2*time.Second, time.Since(began))
		require.False(t, For(ctx, 0))
	})
}
