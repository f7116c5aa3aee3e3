package logging

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestAReaderThatStopsBlocksNobodyAndTheLossIsTold writes into a pipe that
// nobody reads and then reads it.
func TestAReaderThatStopsBlocksNobodyAndTheLossIsTold(t *testing.T) {
	reader, writer := io.Pipe()
	b := NewBounded(writer)
	for range 3 * boundedLines {
		_, err := b.Write([]byte("{}\n"))
		require.NoError(t, err)
	}
	var got bytes.Buffer
	done := make(chan struct{})
	go func() {
		defer close(done)
		_, _ = io.Copy(&got, reader)
	}()
	b.Close(10 * time.Second)
	require.NoError(t, writer.Close())
	<-done
	require.Contains(t, got.String(), "log lines were dropped")
	require.Less(t, strings.Count(got.String(), "{}"), 2*boundedLines)
}

func TestABudgetCountsWhatItLeavesOut(t *testing.T) {
	now := time.Now()
	b := NewBudget(2)
	for _, want := range []bool{true, true, false, false} {
		ok, _ := b.Take("refused", now)
		require.Equal(t, want, ok)
	}
	ok, _ := b.Take("late", now)
	require.True(t, ok, "each kind has its own budget")
	ok, left := b.Take("refused", now.Add(time.Second))
	require.True(t, ok)
	require.Equal(t, 2, left)
}
