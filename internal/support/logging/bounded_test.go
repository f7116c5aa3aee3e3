package logging

import (
	"bytes"
	"io"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// TestStalledReaderBlocksNoWriterAndDroppedLinesAreCounted writes to a pipe without
// a reader, and then reads it and counts the lines.
func TestStalledReaderBlocksNoWriterAndDroppedLinesAreCounted(t *testing.T) {
	reader, writer := io.Pipe()
	b := NewBoundedWriter(writer)
	const written = 3 * boundedLines
	line := []byte("{" + strings.Repeat(" ", 1000) + "}\n")
	for range written {
		_, err := b.Write(line)
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
	kept := bytes.Count(got.Bytes(), line)
	dropped := 0
	for _, match := range regexp.MustCompile(`"lines":(\d+)`).FindAllSubmatch(got.Bytes(), -1) {
		n, err := strconv.Atoi(string(match[1]))
		require.NoError(t, err)
		dropped += n
	}
	require.Positive(t, dropped)
	require.Equal(t, written, kept+dropped, "each line is written or counted as dropped")
	const batch = batchBytes/1000 + 1
	require.LessOrEqual(t, kept, boundedLines+2*batch, "the queue and what was taken from it before the reader stopped")
}

// TestCloseReturnsInTimeWhileWriterIsStalled covers a full queue behind a reader that has
// stopped for good.
func TestCloseReturnsInTimeWhileWriterIsStalled(t *testing.T) {
	reader, writer := io.Pipe()
	defer func() { require.NoError(t, reader.Close()) }()
	b := NewBoundedWriter(writer)
	line := []byte("{" + strings.Repeat(" ", 1000) + "}\n")
	for range 2 * boundedLines {
		_, err := b.Write(line)
		require.NoError(t, err)
	}
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		b.Close(time.Millisecond)
	}()
	select {
	case <-closed:
	case <-time.After(10 * time.Second):
		t.Fatal("Close waits for a reader that has stopped")
	}
}

// failingWriter fails the first writes.
type failingWriter struct {
	bytes.Buffer
	failures int
}

func (w *failingWriter) Write(p []byte) (int, error) {
	if w.failures > 0 {
		w.failures--
		return 0, io.ErrClosedPipe
	}
	return w.Buffer.Write(p)
}

// TestLinesAreWrittenAgainAfterFailedWrites guards against a log that ends for good when one write fails,
// as on a full disk.
func TestLinesAreWrittenAgainAfterFailedWrites(t *testing.T) {
	out := &failingWriter{failures: 2}
	b := NewBoundedWriter(out)
	for lost := int64(1); lost <= 2; lost++ {
		_, err := b.Write([]byte("lost\n"))
		require.NoError(t, err)
		require.Eventually(t, func() bool { return b.dropped.Load() == lost }, 10*time.Second, time.Millisecond)
	}
	_, err := b.Write([]byte("kept\n"))
	require.NoError(t, err)
	b.Close(10 * time.Second)
	require.Regexp(t, `^kept\n\{.*"lines":2\}\n$`, out.String())
}

func TestEmptyLineDoesNotEndWriter(t *testing.T) {
	var got bytes.Buffer
	b := NewBoundedWriter(&got)
	for _, line := range []string{"a\n", "", "b\n"} {
		_, err := b.Write([]byte(line))
		require.NoError(t, err)
	}
	b.Close(10 * time.Second)
	require.Equal(t, "a\nb\n", got.String())
}

func TestBudgetCountsSuppressedLines(t *testing.T) {
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
