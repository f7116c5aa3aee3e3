package httpreply_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/swiftvane/swiftvane/internal/domain/httpreply"
)

// TestForwardedFieldsAreChecked covers fields that another host took from a reply.
func TestForwardedFieldsAreChecked(t *testing.T) {
	require.NoError(t, httpreply.CheckForwarded(nil))
	require.NoError(t, httpreply.CheckForwarded([]byte("A: b\r\nContent-Type: text/plain\r\n")))
	for _, lines := range []string{
		"A: b", "A: b\n", "A b: c\r\n", "A: b\r\n c\r\n", "A: b\x00\r\n", "\r\n", "A: b\r\n\r\nB: c\r\n", "content-length: 5\r\n", "Transfer-Encoding: chunked\r\n",
	} {
		require.True(t, httpreply.IsInvalid(httpreply.CheckForwarded([]byte(lines))), "%q", lines)
	}
}
