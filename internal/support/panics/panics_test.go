package panics

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// at returns an element of a list, which may be missing.
func at(list []int, i int) (element int, err error) {
	defer Catch(&err)
	return list[i], nil
}

// TestPanicIsAnError guards against a message that ends the process.
func TestPanicIsAnError(t *testing.T) {
	_, err := at([]int{1}, 2)
	require.True(t, Is(err))
	require.ErrorContains(t, err, "index out of range")
	require.ErrorContains(t, err, "panics_test.go", "the stack")
	element, err := at([]int{1}, 0)
	require.NoError(t, err)
	require.Equal(t, 1, element)
	require.False(t, Is(err))
}
